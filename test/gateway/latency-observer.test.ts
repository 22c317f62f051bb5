/** Latencies of one attempt, as the evaluation of versions gets them. */
import test from 'ava'
import { createLatencyObserver } from '../../src/core/gateway/latency-observer.ts'
import type { LatencyReport } from '../../src/core/gateway/active-request.ts'

function observe (play: (observer: ReturnType<typeof createLatencyObserver>) => void): Array<Pick<LatencyReport, 'kind' | 'latencyMs' | 'isLowerBound'>> {
  const reports: Array<Pick<LatencyReport, 'kind' | 'latencyMs' | 'isLowerBound'>> = []
  play(createLatencyObserver(1_000, report => { reports.push(report) }))
  return reports
}

test('reports the first byte when it arrives, and the time between events after eight of them, once', t => {
  const reports = observe(observer => {
    observer.onFirstByte(1_200)
    for (let count = 1; count <= 20; count += 1) observer.onEvents(count, 1_200 + (count - 1) * 50)
    observer.onEnded(false, 9_000)
  })
  t.deepEqual(reports, [
    { kind: 'first-byte', latencyMs: 200, isLowerBound: false },
    { kind: 'between-events', latencyMs: 50, isLowerBound: false }
  ])
})

test('an aborted attempt counts with the time that it has already taken', t => {
  t.deepEqual(observe(observer => observer.onEnded(true, 3_000)), [{ kind: 'first-byte', latencyMs: 2_000, isLowerBound: true }])
  const stalled = observe(observer => {
    observer.onFirstByte(1_100)
    observer.onEvents(2, 1_300)
    observer.onEnded(true, 3_100)
  })
  t.deepEqual(stalled.at(-1), { kind: 'between-events', latencyMs: 1_000, isLowerBound: true })
})

test('a short stream is reported when it ends, and a response of one event has no time between events', t => {
  const short = observe(observer => {
    observer.onFirstByte(1_100)
    observer.onEvents(1, 1_100)
    observer.onEvents(3, 1_300)
    observer.onEnded(false, 1_400)
  })
  t.deepEqual(short.at(-1), { kind: 'between-events', latencyMs: 100, isLowerBound: false })
  const single = observe(observer => {
    observer.onFirstByte(1_100)
    observer.onEvents(1, 1_100)
    observer.onEnded(false, 1_400)
  })
  t.is(single.length, 1)
})
