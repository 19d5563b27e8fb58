// Package operator holds the OpenAPI document of the API that every entry
// instance serves to operators. The code generated from it is committed in
// package oas.
package operator

//go:generate go tool ogen --target oas --package oas --clean openapi.yaml
