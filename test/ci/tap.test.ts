import test from 'ava'
import { judge, parseKnownRed, parseTap } from '../../scripts/ci/tap.ts'

const tap = [
  'TAP version 13',
  'ok 1 - client › draft › whole',
  'not ok 2 - calls › once',
  '  ---',
  '  message: not ok 9 - in a message',
  '  ...',
  'ok 3 - peers › later # SKIP'
].join('\n')

test('results are read by their titles, and a skipped test is no pass', t => {
  t.deepEqual(parseTap(tap), { passed: ['client › draft › whole'], failed: ['calls › once', 'peers › later'] })
})

test('only the listed failures are passed over', t => {
  const known = parseKnownRed('# remark\ncalls › once | npx ava test/calls, seed 7 | ran twice | 4\n')
  const verdict = judge(parseTap(tap), known, 1)
  t.deepEqual(verdict.failed, ['peers › later'])
  t.deepEqual(verdict.passedOver.map(({ test }) => test), ['calls › once'])
})

test('a run that ends abnormally or runs nothing fails', t => {
  t.is(judge({ passed: ['a'], failed: [] }, [], 1).failed.length, 1)
  t.is(judge({ passed: [], failed: [] }, [], 0).failed.length, 1)
  t.is(judge({ passed: ['a'], failed: [] }, [], 0).failed.length, 0)
})

test('an entry without its four fields is refused', t => {
  t.throws(() => parseKnownRed('calls › once | seed 7'), { message: /four fields/ })
})
