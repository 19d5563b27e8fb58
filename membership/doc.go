// Package membership tells an instance whether its configuration is current,
// which other instances exist, and which of them has which role.
//
// # Confirmed age
//
// A Member acts on revision R of the control table while it can prove that
// no newer revision was in force at most Settings.Fresh ago. The age of a
// proof is measured on the Member's own monotonic clock from the start of
// the exchange that produced it, so a slow or frozen exchange only makes the
// proof older. There are two kinds of proof:
//
//   - a read of the table, which is never served from a stale copy;
//   - a round to the witnesses, the instances named in the table, in which a
//     majority answers and none knows a newer revision.
//
// A proof is relayed with its age at the time of the answer. The receiver
// dates it at the start of its own call minus that age.
//
// # In force
//
// A revision is in force once a majority of the witnesses knew it at a time
// c and Settings.Fresh, extended by the rate error of two clocks, has passed
// since. A round that starts at or after c includes a witness that knows the
// revision; a proof that started before c has expired. So no instance still
// acts on the old state when another begins to act on the new one.
//
// A witness knows a revision when its replica of the table contains it. It
// can always pass on what it knows, and it stores only the replica that
// every instance has. A restarted process has a new instance id and is not
// the same witness.
//
// # Changing the witnesses
//
// The row in the table holds the previous list next to the new one until a
// majority of both knows the row; a second write then drops the previous
// list. While both are present, every count needs a majority of both. A
// witness that the platform's list shows as ended counts as knowing every
// revision, because it will never answer with an older one; it never counts
// as an answer.
//
// After the second write a majority of the new list alone is enough. An
// instance that still has the row before the first write counts a majority
// of the previous list, and that majority overlaps with the one that knew
// the first write before the second was sent. The instance learns of a newer
// revision and gets no proof. An instance that has the row of the first
// write counts a majority of both lists. The argument requires of a new
// witness only that it never forgets a revision that it reported.
//
// If no majority of the witnesses can be reached or is shown as ended, no
// revision comes into force: nothing can be revoked, and instances that have
// a proof continue. They continue for hours without the table, as long as
// they reach a majority of the witnesses.
//
// The package is pure: it has no goroutines, clock, input or output. The
// caller invokes Tick at NextWake, carries out the effects and passes the
// results back.
package membership
