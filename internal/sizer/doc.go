// Package sizer estimates how much memory accepted jobs take on a host.
package sizer
