// Package caller holds the OpenAPI document of what callers ask an entry
// instance; the generated code is in oas.
package caller

//go:generate go tool ogen --target oas --package oas --clean openapi.yaml
