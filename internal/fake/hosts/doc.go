// Package hosts is a fake of the platform's host list, which shows changes only after a lag.
package hosts
