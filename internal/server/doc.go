// Package server implements the HTTP interface of an entry host for callers and operators.
package server
