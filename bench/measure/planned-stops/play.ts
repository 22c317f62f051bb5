/** Callers with kept and new connections at nodes that are stopped; in virtual time, with the gate of the product. */
import { createRandom } from '../../../src/core/random/index.ts'
import { createCaller, createRequest, drawAnswerTokens, drawEventCount } from './callers.ts'
import { drawStopSignals } from './cases.ts'
import { createEngines } from './engines.ts'
import { createFleet, stopMs } from './fleet.ts'
import { gateKindOf, isStream } from './policies.ts'
import { createTally } from './tally.ts'
import type { Clock } from '../../../src/core/clock/index.ts'
import type { OpenAttempt } from '../../../src/core/planned-stops/index.ts'
import type { Random } from '../../../src/core/random/index.ts'
import type { CallerRequest } from './callers.ts'
import type { StopCase } from './cases.ts'
import type { Engine } from './engines.ts'
import type { EntryNode } from './entry-node.ts'
import type { GatePolicy, RetryPolicy, TrafficKind } from './policies.ts'
import type { Tally } from './tally.ts'

/** One play. */
export interface StopScenario {
  nodeCount: number
  domainCount: number
  stopCase: StopCase
  hasPaceChanges: boolean
  gatePolicy: GatePolicy
  retryPolicy: RetryPolicy
  seed: number
}

/** A request that a node has taken. */
interface OpenWork {
  request: CallerRequest
  node: EntryNode
  engine: Engine
  attempt: OpenAttempt
  takenAtMs: number
  /** Of a stream; undefined until its first event, and for calls. */
  firstByteMs: number | undefined
  events: number
  /** Next event of a stream, end of a call. */
  dueAtMs: number
}

const tickMs = 10
/** More than the parts of a play with numbers of their own. */
const seedsApart = 10_007
const firstCallerPart = 10
const startWallMs = 1_700_000_000_000
const callersPerNode = 40
const maxRetries = 3
const roundTripMs = 10
const firstByteMs = [30, 120] as const
const callMs = [40, 90] as const
/** Answers of each route that nodes know at the start. */
const knownAnswers = 90
const measuredBeforeStopsMs = 4_000
const measuredAfterStopsMs = stopMs + 1_000
const longestDeadlineMs = 15_000
const changesFromMs = 4_000
/** Streams are sent within this time after the signal if their cut is excused. */
const excusedMs = 3_000
const kinds: readonly TrafficKind[] = ['stream', 'short-stream', 'resumable-stream', 'repeatable-call', 'at-most-once-call']

/** Plays a scenario. */
export function playPlannedStops ({ nodeCount, domainCount, stopCase, hasPaceChanges, gatePolicy, retryPolicy, seed }: StopScenario): Tally {
  // Each part has its own numbers, so that policies meet the same requests, stops and changes.
  const randomOf = (part: number): Random => createRandom(seed * seedsApart + part)
  const random = randomOf(0)
  const drawBetween = ([min, max]: readonly [number, number]): number => min + (max - min) * random()
  let nowMs = 0
  const clock: Clock = { wallMs: () => startWallMs + nowMs, monotonicMs: () => nowMs, sleep: () => Promise.reject(new Error('The model has no sleepers.')) }
  const signals = drawStopSignals(randomOf(1), stopCase, nodeCount)
  const measuredFromMs = (signals[0]?.atMs ?? 0) - measuredBeforeStopsMs
  const measuredUntilMs = (signals.at(-1)?.atMs ?? 0) + measuredAfterStopsMs
  const endMs = measuredUntilMs + longestDeadlineMs
  const engines = createEngines(randomOf(2), { count: Math.max(2, nodeCount), changesFromMs: hasPaceChanges ? changesFromMs : undefined, untilMs: endMs })
  const fleet = createFleet({ random: randomOf(3), clock, nodeCount, domainCount, streamsCompleteAfterMs: gatePolicy.streamsCompleteAfterMs })
  const callers = Array.from({ length: nodeCount * callersPerNode }, (_, index) => createCaller(randomOf(firstCallerPart + index), fleet.nodes, domainCount))
  const tally = createTally()
  const open = new Set<OpenWork>()
  const waiting = new Set<CallerRequest>()

  function learnAnswers (): void {
    for (const { gate } of fleet.nodes) {
      for (const kind of kinds) {
        for (let count = 0; count < knownAnswers; count += 1) {
          const eventCount = drawEventCount(random, kind)
          const first = drawBetween(firstByteMs)
          const tookMs = isStream(kind) ? first + eventCount * engines.paceMs(engines.pick()) * 1.3 : drawBetween(callMs)
          gate.recordAnswer(kind, { firstByteMs: isStream(kind) ? first : tookMs, tookMs, eventCount, answerTokens: drawAnswerTokens(random, kind, eventCount) })
        }
      }
    }
  }

  /** Whether the request is tried again, on a new connection. */
  function retry (request: CallerRequest, waitMs: number): boolean {
    const { caller } = request
    if (caller.connection === request.connection) caller.connection = undefined
    request.connection = undefined
    if (request.tries > maxRetries || nowMs + waitMs >= request.deadlineAtMs) return false
    request.nextAtMs = nowMs + waitMs
    waiting.add(request)
    return true
  }

  /** The node of the kept connection, if it can be used, else the one that the balancer chooses. */
  function connect (request: CallerRequest): EntryNode {
    const { caller } = request
    const kept = caller.connection
    if (kept !== undefined && request.tries === 0 && !kept.isBusy && kept.life === kept.node.life && kept.node.state !== 'down') {
      kept.isBusy = true
      request.connection = kept
      return kept.node
    }
    const pool = fleet.poolOf(caller.domain)
    const inOrder = caller.order.filter(node => pool.includes(node))
    return inOrder.find(node => !request.tried.has(node)) ?? inOrder[request.tries % inOrder.length]!
  }

  function refuse (request: CallerRequest, node: EntryNode): void {
    request.refusals += 1
    if (request.refusals === 1) tally.count(request, 'refused')
    node.lastOpenAtMs = nowMs
    tally.count(request, 'answers503')
    const toldMs = retryPolicy.retryAfterMs(fleet.viewOf(node), random)
    const waitMs = request.caller.isImpatient ? 0 : Math.min(toldMs, (request.deadlineAtMs - nowMs) / 3)
    if (retry(request, waitMs + roundTripMs)) return
    tally.count(request, 'unserved503')
    if (request.caller.isImpatient) tally.count(request, 'unservedImpatient')
  }

  function take (request: CallerRequest, node: EntryNode): void {
    const { kind } = request.caller
    const engine = engines.pick()
    const answerMs = drawBetween(isStream(kind) ? firstByteMs : callMs) * engine.factor
    if (isStream(kind)) engine.openStreams += 1
    node.openCount += 1
    open.add({ request, node, engine, attempt: node.gate.openAttempt(kind), takenAtMs: nowMs, firstByteMs: undefined, events: 0, dueAtMs: nowMs + answerMs })
  }

  function send (request: CallerRequest): void {
    const { kind } = request.caller
    waiting.delete(request)
    const node = connect(request)
    request.tries += 1
    request.tried.add(node)
    if (node.state === 'down') {
      tally.count(request, 'refusedConnections')
      if (!retry(request, roundTripMs)) tally.count(request, 'unreached')
      return
    }
    const mustComplete = node.state === 'stopping' && gatePolicy.mustComplete(kind, fleet.viewOf(node))
    const decision = node.gate.decide({ route: kind, kind: gateKindOf(kind, mustComplete), answerTokens: request.answerTokens, deadlineAtMs: startWallMs + request.deadlineAtMs })
    if (decision?.isAdmitted === false) refuse(request, node)
    else take(request, node)
  }

  function close (work: OpenWork): void {
    open.delete(work)
    work.attempt.end()
    work.node.openCount -= 1
    if (isStream(work.request.caller.kind)) work.engine.openStreams -= 1
  }

  /** Keeps or closes the connection after an answer that told the caller to close it or not. */
  function endAnswer ({ caller, connection }: CallerRequest, node: EntryNode, isTold: boolean): void {
    const isKept = caller.keepsConnection && !isTold
    if (connection !== undefined) {
      connection.isBusy = false
      if (!isKept && caller.connection === connection) caller.connection = undefined
    } else if (isKept) caller.connection = { node, life: node.life, isBusy: false }
  }

  function finish (work: OpenWork): void {
    const { request, node, takenAtMs } = work
    close(work)
    const tookMs = nowMs - takenAtMs
    node.gate.recordAnswer(request.caller.kind, { firstByteMs: work.firstByteMs ?? tookMs, tookMs, eventCount: work.events, answerTokens: request.answerTokens })
    tally.recordServed(request, takenAtMs - request.sentAtMs)
    endAnswer(request, node, node.state !== 'up' && takenAtMs + (work.firstByteMs ?? tookMs) >= node.signalledAtMs)
  }

  /** Ends a request at the end of its node. */
  function cut (work: OpenWork): void {
    const { request, node, takenAtMs } = work
    const { kind } = request.caller
    close(work)
    const isLate = takenAtMs > node.signalledAtMs + excusedMs
    tally.count(request, !isStream(kind) ? 'cutCalls' : isLate ? 'cutLate' : 'cutEarly')
    if (kind === 'resumable-stream') request.eventCount -= work.events
    const isRepeatable = kind === 'repeatable-call' || kind === 'resumable-stream'
    if (isRepeatable && retry(request, roundTripMs)) return
    tally.count(request, isStream(kind) ? 'lostStreams' : 'lostCalls')
  }

  function readEvents (work: OpenWork, tickEndMs: number): void {
    const before = work.events
    let lastAtMs = tickEndMs
    while (work.dueAtMs <= tickEndMs && work.events < work.request.eventCount) {
      lastAtMs = work.dueAtMs
      work.events += 1
      work.firstByteMs ??= lastAtMs - work.takenAtMs
      work.dueAtMs += engines.paceMs(work.engine)
    }
    if (work.events === before) return
    nowMs = lastAtMs
    work.attempt.onEvents(work.events)
    if (work.events >= work.request.eventCount) finish(work)
    nowMs = tickEndMs
  }

  function proceed (work: OpenWork): void {
    if (nowMs >= work.request.deadlineAtMs) {
      close(work)
      tally.count(work.request, 'pastDeadline')
      return endAnswer(work.request, work.node, true)
    }
    if (isStream(work.request.caller.kind)) readEvents(work, nowMs)
    else if (work.dueAtMs <= nowMs) finish(work)
  }

  engines.tick(0)
  learnAnswers()
  for (; nowMs < endMs; nowMs += tickMs) {
    engines.tick(nowMs)
    for (const work of open) proceed(work)
    for (let next = signals[0]; next !== undefined && next.atMs <= nowMs; next = signals[0]) {
      signals.shift()
      const node = fleet.nodes[next.node]!
      if (node.state === 'up') fleet.stop(node)
    }
    fleet.tick(node => { for (const work of open) if (work.node === node) cut(work) })
    for (const caller of callers) {
      if (caller.dueAtMs > nowMs || nowMs >= measuredUntilMs) continue
      const request = createRequest(caller, nowMs, nowMs >= measuredFromMs)
      tally.count(request, 'requests')
      waiting.add(request)
    }
    for (const request of waiting) if (request.nextAtMs <= nowMs) send(request)
  }
  return tally.result()
}
