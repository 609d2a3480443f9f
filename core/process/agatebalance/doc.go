// Package agatebalance assigns the requests of one service to the backend
// servers of one data centre. It is deterministic and does no I/O: the time and
// the seed of its random choices are arguments.
package agatebalance
