import test from 'ava'
import fc from 'fast-check'
import { createAdmission } from '../../src/core/admission/index.ts'
import type { Admission, AdmissionOptions, AdmissionRequest, Permit } from '../../src/core/admission/index.ts'
import { createNaiveAdmission } from '../../src/core/admission/naive.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { TeamId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'

const large = toId<TeamId>('large')
const small = toId<TeamId>('small')
type Create = (options: AdmissionOptions) => Admission

function setUp (create: Create = createAdmission, maxConcurrent = 4) {
  const clock = createManualClock()
  const metrics = createMetrics()
  const admission = create({ clock, metrics, random: () => 0.5, maxConcurrent })
  return { clock, metrics, admission }
}

function requestOf (clock: ManualClock, changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    team: large,
    route: 'letters',
    priority: 'normal',
    deadlineAtMs: clock.wallMs() + 60_000,
    weight: 1,
    maxConcurrent: 100,
    maxQueued: 100,
    expectedMs: 100,
    ...changes
  }
}

/** Runs a request through to its end and notes when it was granted. */
async function run (clock: ManualClock, admission: Admission, request: AdmissionRequest, order: TeamId[]): Promise<void> {
  const result = await admission.admit(request)
  if (result.isErr) return
  order.push(request.team)
  await clock.sleep(100)
  result.value.release('done')
}

/** Position of the small team's last grant when it arrives behind forty requests of a large one. */
async function lastSmallGrant (create: Create): Promise<number> {
  const { clock, admission } = setUp(create)
  const order: TeamId[] = []
  for (let index = 0; index < 40; index += 1) run(clock, admission, requestOf(clock), order)
  for (let index = 0; index < 4; index += 1) run(clock, admission, requestOf(clock, { team: small }), order)
  await clock.advance(5000)
  return order.lastIndexOf(small)
}

test('a large team does not hold a small one back, as it does in the naive version', async t => {
  t.true(await lastSmallGrant(createNaiveAdmission) >= 40)
  t.true(await lastSmallGrant(createAdmission) <= 12)
})

test('urgent work of a team goes before its other work', async t => {
  const { clock, admission } = setUp(createAdmission, 1)
  const first = await admission.admit(requestOf(clock))
  const order: string[] = []
  for (const priority of ['batch', 'normal', 'urgent'] as const) {
    admission.admit(requestOf(clock, { priority })).then(result => {
      order.push(priority)
      if (result.isOk) result.value.release('done')
    })
  }
  if (first.isOk) first.value.release('done')
  await clock.advance(10)
  t.deepEqual(order, ['urgent', 'normal', 'batch'])
})

test('work that can not meet its deadline is refused at once with a time to come back', async t => {
  const { clock, metrics, admission } = setUp(createAdmission, 1)
  await admission.admit(requestOf(clock, { expectedMs: 1000 }))
  const result = await admission.admit(requestOf(clock, { expectedMs: 1000, deadlineAtMs: clock.wallMs() + 1500 }))
  t.true(result.isErr)
  if (result.isErr) {
    t.is(result.error.reason, 'deadline-unreachable')
    t.is(result.error.run, 'not-run')
    t.true((result.error.retryAtMs ?? 0) > clock.wallMs())
  }
  t.is(await metrics.counterValue('refused_total', { reason: 'deadline-unreachable' }), 1)
})

test('a waiting request is refused when its latest start has passed', async t => {
  const { clock, admission } = setUp(createAdmission, 1)
  await admission.admit(requestOf(clock, { expectedMs: 100 }))
  const waiting = admission.admit(requestOf(clock, { expectedMs: 100, deadlineAtMs: clock.wallMs() + 400 }))
  await clock.advance(299)
  t.is(admission.load().waiting, 1)
  await clock.advance(1)
  const result = await waiting
  t.true(result.isErr && result.error.reason === 'deadline-unreachable')
  t.is(admission.load().waiting, 0)
})

test('a full queue and a team at its limit are refused at once by their own reasons', async t => {
  const { clock, admission } = setUp(createAdmission, 2)
  await admission.admit(requestOf(clock, { maxConcurrent: 1, maxQueued: 0 }))
  const atLimit = await admission.admit(requestOf(clock, { maxConcurrent: 1, maxQueued: 0 }))
  t.true(atLimit.isErr && atLimit.error.reason === 'team-limit')
  await admission.admit(requestOf(clock, { team: small }))
  const full = await admission.admit(requestOf(clock, { maxQueued: 0 }))
  t.true(full.isErr && full.error.reason === 'queue-full' && full.error.retryAtMs !== undefined)
})

test('draining refuses waiting and new requests and leaves permits alone', async t => {
  const { clock, admission } = setUp(createAdmission, 1)
  const first = await admission.admit(requestOf(clock))
  const waiting = admission.admit(requestOf(clock))
  admission.drain()
  const refused = await waiting
  t.true(refused.isErr && refused.error.reason === 'draining')
  t.is(admission.load().inFlight, 1)
  if (first.isOk) first.value.release('done')
  t.is(admission.load().inFlight, 0)
})

test('a caller that leaves gives up its place', async t => {
  const { clock, admission } = setUp(createAdmission, 1)
  await admission.admit(requestOf(clock))
  const caller = new AbortController()
  const waiting = admission.admit(requestOf(clock, { signal: caller.signal }))
  caller.abort()
  const result = await waiting
  t.true(result.isErr && result.error.reason === 'caller-left')
  t.is(admission.load().waiting, 0)
})

interface Step { team: number, kind: 'admit' | 'release' | 'wait', expectedMs: number }

const steps = fc.array(fc.record<Step>({
  team: fc.integer({ min: 0, max: 3 }),
  kind: fc.constantFrom('admit', 'release', 'wait'),
  expectedMs: fc.integer({ min: 0, max: 500 })
}), { maxLength: 60 })

test('limits hold and every request is answered under any schedule', async t => {
  await fc.assert(fc.asyncProperty(steps, async schedule => {
    const { clock, admission } = setUp(createAdmission, 5)
    const permits: Permit[] = []
    let open = 0
    for (const step of schedule) {
      const team = toId<TeamId>(`team-${step.team}`)
      if (step.kind === 'admit') {
        open += 1
        const request = requestOf(clock, { team, maxConcurrent: 2, maxQueued: 3, expectedMs: step.expectedMs, deadlineAtMs: clock.wallMs() + 800 })
        admission.admit(request).then(result => {
          open -= 1
          if (result.isOk) permits.push(result.value)
        })
      }
      if (step.kind === 'release') permits.shift()?.release('done')
      await clock.advance(step.kind === 'wait' ? step.expectedMs : 0)
      if (admission.load().inFlight > 5 || admission.load(team).inFlight > 2) return false
    }
    await clock.advance(1000)
    const held = permits.length
    return open === 0 && admission.load().waiting === 0 && admission.load().inFlight === held
  }), { seed: 20261203, numRuns: 60 })
  t.pass()
})
