// Package spreader limits how many members of a gang start on one worker, after attempts in which members gave up waiting for the others.
package spreader
