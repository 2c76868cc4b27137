// Command chestnutmux-fakes runs fakes of the platform's services, such as its log, workers and runners, for tests and the demo.
package main
