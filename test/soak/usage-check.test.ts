/** The check of usage reports in the soak. */
import test from 'ava'
import { findConflictingReports } from '../../bench/soak/usage-check.ts'

function report (window: number, counts: Record<string, number>, fencingNumber: number) {
  return { path: '/usage', fencingNumber, body: { window_id: window, counts } }
}

test('two accepted usage reports of a window with different counts are a conflict, repeats and fenced ones are not', t => {
  const first = report(1, { a: 3, b: 2 }, 5)
  t.deepEqual(findConflictingReports([first, report(1, { b: 2, a: 3 }, 6), report(1, { a: 4 }, 4), report(2, { a: 4 }, 6)]), [])
  t.is(findConflictingReports([first, report(1, { a: 4, b: 2 }, 6)]).length, 1)
  t.is(findConflictingReports([first, report(1, {}, 6)]).length, 1)
})
