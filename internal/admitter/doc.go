// Package admitter decides whether a submitted job is accepted and which failure domain becomes its home.
package admitter
