// Package proofs holds the tests of what must always hold in the real
// processes: entry instances are killed, frozen, cut off and replaced under
// load by a fixed schedule, and the recorded history is checked afterwards.
// Nothing here is part of the product.
package proofs
