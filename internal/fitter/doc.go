// Package fitter tells work that no worker of a deployment can ever run. It decides without network and clock.
package fitter
