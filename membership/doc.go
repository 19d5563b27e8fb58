// Package membership tells an instance whether what it acts on is still the
// newest, who else is there, and who does which work.
//
// # Confirmed age
//
// A Member acts on revision R of the control table while it can prove that
// no newer revision was in force at most Settings.Fresh ago. The age of a
// proof counts on the Member's own monotonic clock from the start of the
// exchange that gave it, so that a slow or frozen exchange only ages it.
// There are two proofs:
//
//   - a read of the table, which is never served from an old copy;
//   - a round to the witnesses, the instances named in the table, in which a
//     majority answers and none knows a newer revision.
//
// A proof is relayed with its age at the time of the answer; the receiver
// counts it from the start of its own call, less that age.
//
// # In force
//
// A revision is in force once a majority of the witnesses knew it at a time
// c and Settings.Fresh, lengthened by the error of two clocks, has passed
// since. A round that starts at or after c meets a witness that knows; a
// proof that started before c has run out. Nobody acts on the old state when
// somebody begins to act on the new one.
//
// A witness knows a revision when its replica of the table has it. It can
// always hand over what it knows, and it keeps nothing but the replica that
// every instance has. A process that starts again has a new instance id and
// isn't the witness that it was.
//
// # Changing the witnesses
//
// The row in the table holds the list before next to the new one until a
// majority of both knows the row; a second write then drops the old list.
// While both stand, every count needs a majority of both. A witness that the
// platform's list shows as ended counts as knowing everything, because it
// will never answer with less; it never counts as an answer.
//
// Why a majority of the new list alone is enough after the second write:
// whoever still has the row before the first write counts a majority of the
// old list, and that majority meets one that knew the first write before
// the second was sent. It hears of a newer revision and gets no proof.
// Whoever has the first row counts a majority of both lists. The argument
// needs nothing of a new witness but that it never forgets what it answered.
//
// If a majority of the witnesses can't be reached and isn't shown as ended,
// no revision comes in force: nothing can be taken away, and those who have
// a proof go on. They go on for hours without the table, as long as they
// reach a majority of the witnesses.
//
// The package is pure: no goroutine, clock, input or output. Its owner calls
// Tick at NextWake, carries out the effects and hands their answers back.
package membership
