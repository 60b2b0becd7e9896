// Package fakeworker implements a simulated worker. It polls the entries of its failure domain for orders and runs simulated tasks that slow each other down. Its lease is enforced as on a real worker.
package fakeworker
