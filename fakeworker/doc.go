// Package fakeworker stands in for a worker: it polls the entries of its failure domain for orders and runs fake tasks that disturb each other, under a lease that it really obeys.
package fakeworker
