// Package parser parses configuration files and job files, which are JSON with comments and trailing commas.
package parser
