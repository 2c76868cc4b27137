// Package watchdog limits the time of transfers by their progress. A transfer of unknown size is cut off when it stalls, and not
// because it is large or because its link is slow.
package watchdog
