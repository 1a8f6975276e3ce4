// Package main is a placeholder.
package main

func main() {}
