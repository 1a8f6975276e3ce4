// Package config reads the settings of one process, written in JSON with
// comments. Errors name file, line, key and what is allowed.
package config
