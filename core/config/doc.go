// Package config reads the settings file of a daemon process, which is JSON with
// comments and trailing commas. Each error names the file, the line, the key and
// the allowed values.
package config
