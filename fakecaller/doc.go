// Package fakecaller implements a load generator. It sends requests to the entries at an open-loop rate, spread as by the platform's load balancer, and checks that each response is complete and belongs to its request.
package fakecaller
