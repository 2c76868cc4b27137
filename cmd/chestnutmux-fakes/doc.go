// Command chestnutmux-fakes runs fakes of the platform for tests and the demo.
package main
