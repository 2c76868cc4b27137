// Package poster passes messages between tasks without blocking the sender.
package poster
