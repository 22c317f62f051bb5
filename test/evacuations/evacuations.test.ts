/** Guards against evacuations that are lost, that a return ends abruptly, or that fill the log. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { capacityReturnMs, createEvacuations } from '../../src/core/evacuations/index.ts'
import { ineligibleReason, resumeMs } from '../../src/core/gateway/eligibility.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { DomainId } from '../../src/core/ids/index.ts'

const domain = toId<DomainId>('a')

function setUp (serverCount: number) {
  const clock = createManualClock()
  const events: string[] = []
  const evacuations = createEvacuations({ clock, log: event => { events.push(event) }, metrics: createMetrics(), serverCount: () => serverCount })
  return { clock, events, evacuations }
}

test('a key that appears, is rewritten, disappears and appears again takes effect each time, and its end is known', async t => {
  const { clock, events, evacuations } = setUp(1)
  evacuations.set(domain, false)
  evacuations.set(domain, true)
  evacuations.set(domain, true)
  t.true(evacuations.isEvacuated(domain) && evacuations.isWithoutCapacity(domain))
  await clock.advance(500)
  evacuations.set(domain, false, true)
  t.false(evacuations.isEvacuated(domain))
  t.is(evacuations.endedAtMs(domain), 500)
  await clock.advance(capacityReturnMs - 1)
  t.true(evacuations.isWithoutCapacity(domain))
  await clock.advance(1)
  t.false(evacuations.isWithoutCapacity(domain))
  evacuations.set(domain, true)
  t.is(evacuations.endedAtMs(domain), -Infinity)
  t.deepEqual(events, ['domainEvacuated', 'domainEvacuationEnded', 'domainEvacuated'])
})

test('a domain without backend servers is logged once, however often it is evacuated', async t => {
  const { clock, events, evacuations } = setUp(0)
  for (const isRequested of [true, false, true]) {
    evacuations.set(domain, isRequested)
    await clock.advance(5_000)
  }
  t.is(events.filter(event => event === 'evacuatedDomainUnknown').length, 1)
})

test('after an evacuation, the part of the choices that a backend server is offered for rises over two seconds', t => {
  const input = { isLeaving: false, isMisdirected: false, isEvacuated: false, evacuationEndedAtMs: 0, unconfirmedUntilMs: 0, pausedUntilMs: -Infinity, hasPermit: true, limitEndedAtMs: -Infinity, suspectUntilMs: 0, isAvoided: false, isReplaced: false }
  t.deepEqual([0, 0.25, 0.75, 1].map(part => ineligibleReason(input, part * resumeMs, 0.5)), ['resuming', 'resuming', undefined, undefined])
})
