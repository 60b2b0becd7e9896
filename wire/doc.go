// Package wire is the protocol between the processes of daisyswitch and the record format of its log, generated from wire.proto.
package wire

//go:generate make -C .. generate
