// Package parser parses files of configurations and jobs, which are JSON with comments and trailing commas.
package parser
