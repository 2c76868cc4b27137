// Package parser reads configuration files, JSON with comments.
package parser
