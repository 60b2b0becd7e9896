// Package fakecaller stands in for callers: it loads entries at an open-loop rate, as the platform's balancer would spread it, and checks that each answer is whole and its own.
package fakecaller
