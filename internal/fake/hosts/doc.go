// Package hosts is a fake of the platform's host list, in which changes become visible only after a lag.
package hosts
