/** Short soak runs with regression seeds, and tests of the soak's own checks. */
import test from 'ava'
import { createChecks } from '../../bench/soak/checks.ts'
import { runFaultyResponses } from '../../bench/soak/faulty-run.ts'
import { runMove } from '../../bench/soak/move-run.ts'
import { takePortBlock } from '../../bench/soak/port-block.ts'
import { runSoak } from '../../bench/soak/run.ts'
import { runStops } from '../../bench/soak/stop-run.ts'
import { buildProgram } from '../platform-adapter/build-program.ts'
import type { CompletedCall, CallResult } from '../../bench/soak/checks.ts'

const durationMs = 8_000
/** A run with either seed detects a repeated at-most-once call and a stop that drops open requests, if these faults are added to the code. */
const seeds = [1, 4]
/** A good version is completed, all nodes are killed, and stopped servers stay registered in the copy for longer than 5 s. */
const moveSeed = 12
/** Each of the first nodes meets endless responses in tiny chunks. */
const faultySeed = 2
/** All engines become several times slower while the last node is stopped. */
const paceSeed = 501

let program = ''
test.before(() => {
  program = buildProgram()
})

for (const seed of seeds) {
  test.serial(`all promises hold with the faults of seed ${seed}`, async t => {
    const { broken, calls, faults, logs } = await runSoak({ seed, durationMs, nodeCount: 3, program })
    if (broken.length > 0) t.log(faults, logs)
    t.deepEqual(broken, [])
    t.true((calls['200'] ?? 0) > 0)
  })
}

test.serial('while nodes are stopped as planned, each request gets its whole answer or a true refusal', async t => {
  const { broken, calls, faults, logs } = await runStops({ seed: 1, durationMs: 12_000, nodeCount: 3, program, isPaceSteady: true })
  if (broken.length > 0) t.log(faults, logs)
  t.deepEqual(broken, [])
  t.true((calls['200'] ?? 0) > 0)
})

// Guards against answers that are lost because backend servers change their pace during a stop.
test.serial('while nodes are stopped as planned and backend servers change their pace, all promises hold', async t => {
  const { broken, calls, faults, logs } = await runStops({ seed: paceSeed, durationMs: 14_000, nodeCount: 3, program })
  if (broken.length > 0) t.log(faults, logs)
  t.deepEqual(broken, [])
  t.true((calls['200'] ?? 0) > 0)
})

// Guards against a completed move that is undone after a restore, because stopped servers are registered in the copy.
test.serial('a version move keeps its result while the store is restored and all nodes are killed', async t => {
  const { broken, calls, faults, logs } = await runMove({ seed: moveSeed, durationMs, nodeCount: 3, program })
  if (broken.length > 0) t.log(faults, logs)
  t.deepEqual(broken, [])
  t.true((calls['200'] ?? 0) > 0)
})

// Guards against a node that runs out of memory, or ends, because of what backend servers send.
test.serial('while backend servers send faulty responses and nodes are stopped and killed, all promises hold', async t => {
  const { broken, calls, faults, logs } = await runFaultyResponses({ seed: faultySeed, durationMs, nodeCount: 3, program })
  if (broken.length > 0) t.log(faults, logs)
  t.deepEqual(broken, [])
  t.true((calls['200'] ?? 0) > 0)
})

function createCall (result: CallResult, changes: Partial<CompletedCall> = {}): CompletedCall {
  return { id: 'r-1', isIdempotent: false, crashingPath: undefined, node: 'front-a-1', startCount: 1, wasInterrupted: false, result, ...changes }
}

function brokenPromisesOf (record: (checks: ReturnType<typeof createChecks>) => void): string[] {
  const checks = createChecks()
  record(checks)
  return checks.finish().broken.map(({ promise }) => promise)
}

const createAnswer = (status: number, body: string, isFromBackend = true): CallResult => ({ kind: 'answer', status, isFromBackend, body })

test('each kind of broken promise is detected', t => {
  t.deepEqual(brokenPromisesOf(checks => checks.onCall(createCall(createAnswer(200, 'r-2')))), ['own-answer'])
  t.deepEqual(brokenPromisesOf(checks => {
    checks.onRun('r-1')
    checks.onCall(createCall(createAnswer(503, '', false)))
  }), ['not-run'])
  t.deepEqual(brokenPromisesOf(checks => {
    checks.onRun('r-1')
    checks.onRun('r-1')
    checks.onCall(createCall(createAnswer(200, 'r-1')))
  }), ['at-most-once'])
  t.deepEqual(brokenPromisesOf(checks => checks.onCall(createCall({ kind: 'cut', elapsedMs: 300, receivedBytes: false }))), ['planned-stop'])
  t.deepEqual(brokenPromisesOf(checks => checks.onCall(createCall({ kind: 'no-end' }))), ['an-end'])
  t.deepEqual(brokenPromisesOf(checks => {
    checks.onConfigurationServed('front-a-1', 1, 5, 0)
    checks.onConfigurationServed('front-a-1', 1, 4, checks.newestVersionOf('front-a-1', 1))
  }), ['newest-configuration'])
})

test('requests to a backend server that said it was leaving, or that asked for a pause, are detected', t => {
  const arrival = { backend: 'i-1', startedAtMs: 5, pauseSeconds: undefined, isDisturbed: false }
  const sent = { node: 'front-a-1', startCount: 1, interruptionCount: 0 }
  t.deepEqual(brokenPromisesOf(checks => {
    checks.onSent({ ...sent, id: 'r-1', atMs: 0 })
    checks.onArrival({ ...arrival, request: 'r-1', atMs: 1 })
    checks.onCall(createCall({ kind: 'answer', status: 200, isFromBackend: true, leavingBackend: 'i-1', body: 'r-1' }))
    checks.onSent({ ...sent, id: 'r-2', atMs: performance.now() + 2_500 })
    checks.onArrival({ ...arrival, request: 'r-2', atMs: 2_600 })
    checks.onSent({ ...sent, id: 'r-3', startCount: 2, atMs: performance.now() + 2_500 })
    checks.onArrival({ ...arrival, request: 'r-3', atMs: 2_600 })
  }), ['leaving-left-alone'])
  t.deepEqual(brokenPromisesOf(checks => {
    for (const [index, atMs] of [0, 600, 700, 800, 1_900].entries()) {
      checks.onSent({ ...sent, id: `r-${index}`, atMs })
      checks.onArrival({ ...arrival, request: `r-${index}`, pauseSeconds: index === 0 ? 1.5 : undefined, atMs })
    }
  }), ['pause-kept'])
})

// Guards against a check that passes when nodes ignore evacuations, or fails for nodes that could not know of them.
test('requests to an evacuated domain are detected after the bound, from nodes that ran and had the store', t => {
  const brokenAfter = (evacuatedForMs: number, cutOffNodes: string[], startCount = 1): string[] => brokenPromisesOf(checks => {
    checks.onSent({ id: 'r-1', node: 'front-a-1', startCount: 1, interruptionCount: 0, atMs: 6_000 })
    checks.onSent({ id: 'r-2', node: 'front-a-1', startCount, interruptionCount: 0, atMs: 6_100 })
    checks.onAttempt({ request: 'r-2', backend: 'i-1', startedAtMs: 5, evacuatedForMs, isCold: false, cutOffNodes, atMs: 6_200 })
  })
  t.deepEqual(brokenAfter(5_100, ['front-a-2']), ['evacuated-left-alone'])
  t.deepEqual([brokenAfter(4_900, []), brokenAfter(5_100, ['front-a-1']), brokenAfter(5_100, [], 2)], [[], [], []])
})

// Guards against a check that counts the requests of each node by itself, or those of nodes that could not know of the restart.
test('requests to a cold engine beyond its limit in one second are detected, summed over all nodes', t => {
  const brokenWith = (count: number, cutOffNodes: string[], isCold = true): string[] => brokenPromisesOf(checks => {
    for (let index = 0; index < count; index += 1) {
      checks.onSent({ id: `r-${index}`, node: `front-a-${index % 2}`, startCount: 1, interruptionCount: 0, atMs: index })
      checks.onAttempt({ request: `r-${index}`, backend: 'e-1', startedAtMs: 5, evacuatedForMs: -Infinity, isCold, cutOffNodes, atMs: index * 100 })
    }
  })
  t.deepEqual(brokenWith(7, []), ['cold-limit-kept'])
  t.deepEqual([brokenWith(6, []), brokenWith(7, ['front-a-1']), brokenWith(7, [], false)], [[], [], []])
})

test('prompts that crash engines and go on reaching them, and sound prompts that are quarantined, are detected', t => {
  t.deepEqual(brokenPromisesOf(checks => {
    for (let index = 0; index < 5; index += 1) checks.onCrash('bad', index)
    for (const [index, atMs] of [2_000, 3_100, 3_200, 3_300, 3_400].entries()) {
      checks.onSent({ id: `r-${index}`, node: 'front-a-1', startCount: 1, interruptionCount: 0, atMs })
      checks.onPrompt({ id: `r-${index}`, parts: ['bad'], atMs })
    }
    checks.onDraft({ id: 'r-9', node: 'front-a-1', part: undefined, result: createAnswer(503, '{"reason":"prompt-quarantined"}', false) })
  }), ['sound-prompt', 'crashing-prompt'])
  t.deepEqual(brokenPromisesOf(checks => {
    for (let index = 0; index < 3; index += 1) checks.onRequestCrash('/look-up/bad', index)
    for (const [index, atMs] of [2_000, 3_100, 3_200, 3_300, 3_400].entries()) {
      checks.onSent({ id: `r-${index}`, node: 'front-a-1', startCount: 1, interruptionCount: 0, atMs })
      checks.onArrival({ request: `r-${index}`, backend: 'i-1', startedAtMs: 1, pauseSeconds: undefined, isDisturbed: false, atMs })
      checks.onCall(createCall(createAnswer(502, '', false), { id: `r-${index}`, isIdempotent: true, crashingPath: '/look-up/bad' }))
    }
    checks.onCall(createCall(createAnswer(503, '{"reason":"request-quarantined"}', false), { id: 'r-9' }))
  }), ['sound-request', 'crashing-request'])
})

test('a request cut by a kill, one admitted before a configuration change and a repeated idempotent request break no promise', t => {
  t.deepEqual(brokenPromisesOf(checks => {
    checks.onCall(createCall({ kind: 'cut', elapsedMs: 300, receivedBytes: false }, { wasInterrupted: true }))
    // The second request was sent before version 5 was seen, and answered after it.
    checks.onConfigurationServed('front-a-1', 1, 5, 0)
    checks.onConfigurationServed('front-a-1', 1, 4, 0)
    checks.onRun('r-2')
    checks.onRun('r-2')
    checks.onCall(createCall(createAnswer(200, 'r-2'), { id: 'r-2', isIdempotent: true }))
  }), [])
})

test('requests beyond a limit from nodes that had passed it on are detected, and those of other nodes and before are not', t => {
  const limit = { perSecond: 1, sinceMs: 0 }
  const record = (checks: ReturnType<typeof createChecks>, startCount: number): void => {
    checks.onSent({ node: 'front-a-1', startCount: 1, interruptionCount: 0, id: 'r-0', atMs: -2_000 })
    checks.onArrival({ backend: 'i-1', startedAtMs: 5, pauseSeconds: undefined, isDisturbed: false, limit, request: 'r-0', atMs: -2_000 })
    checks.onCall(createCall({ kind: 'answer', status: 200, isFromBackend: true, limitedBackend: 'i-1', body: 'r-0' }, { id: 'r-0' }))
    const toldAtMs = performance.now()
    for (let index = 1; index <= 12; index += 1) {
      checks.onSent({ node: 'front-a-1', startCount, interruptionCount: 0, id: `r-${index}`, atMs: toldAtMs + 600 })
      checks.onArrival({ backend: 'i-1', startedAtMs: 5, pauseSeconds: undefined, isDisturbed: false, limit, request: `r-${index}`, atMs: toldAtMs + 600 + index })
    }
  }
  t.deepEqual(brokenPromisesOf(checks => record(checks, 1)), ['limit-kept'])
  t.deepEqual(brokenPromisesOf(checks => record(checks, 2)), [])
})

test('soak runs that take place at the same time use different ports', async t => {
  const blocks = await Promise.all(Array.from({ length: 3 }, takePortBlock))
  t.is(new Set(blocks.map(({ firstPort }) => firstPort)).size, 3)
  const [first] = blocks
  await first!.close()
  const next = await takePortBlock()
  t.true(blocks.slice(1).every(({ firstPort }) => firstPort !== next.firstPort))
  await Promise.all([...blocks.slice(1), next].map(block => block.close()))
})
