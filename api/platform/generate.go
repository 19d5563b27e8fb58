// Package platform holds the OpenAPI document of the platform's services.
// The code that ogen generates from it is in package oas beside it.
package platform

//go:generate go tool ogen --target oas --package oas --clean openapi.yaml
