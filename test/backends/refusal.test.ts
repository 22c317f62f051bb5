/** The times to retry that backend servers name. */
import test from 'ava'
import { parseRetryAfter } from '../../src/core/backends/refusal.ts'

test('a time to retry is read within an hour, and one that is no time is ignored', t => {
  t.is(parseRetryAfter('1.5', 1_000), 2_500)
  t.is(parseRetryAfter('0', 1_000), 1_000)
  for (const text of ['1e308', '99999999999999999999']) t.is(parseRetryAfter(text, 0), 3_600_000)
  for (const text of [undefined, '-1', 'NaN', 'Infinity', 'Wed, 21 Oct 2015 07:28:00 GMT']) t.is(parseRetryAfter(text, 0), undefined, text)
})
