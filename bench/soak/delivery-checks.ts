/** Checks what callers get while nodes are stopped as planned: whole answers, true refusals, and a log line for each answer that isn't delivered. */
import { graceMs } from '../../test/platform-adapter/soak-deployment.ts'
import type { BrokenPromise } from './checks.ts'
import type { NodeExit } from './node-process.ts'

/** A request on a plain connection, as its caller saw it. */
export interface Delivery {
  id: string
  /** Id of the request's first try; each try after a refusal has its own. */
  firstId: string
  /** Monotonic time until which the caller waits, over all tries. */
  deadlineAtMs: number
  /** Whether the caller doesn't send the request again. */
  isLastTry: boolean
  isIdempotent: boolean
  isStream: boolean
  node: string
  startCount: number
  /** Number of the request on its connection, from 1, and whether it was sent before the answer to the one before it had ended. */
  connectionIndex: number
  isPipelined: boolean
  /** Monotonic times of its first and last byte; the last one is undefined if it wasn't sent. */
  startedAtMs: number
  sentAtMs: number | undefined
  endedAtMs: number
  /** Time for which the caller of this try waits, at most its route's timeout. */
  timeoutMs: number
  /** Time at which a caller that reads slowly would have read the whole answer at its pace; undefined if it reads at once. */
  readEndAtMs: number | undefined
  kind: 'complete' | 'cut' | 'no-end'
  cause: string
  status: number | undefined
  isFromBackend: boolean
  receivedBytes: number
  /** Whether the body is the backend server's whole one, a part from its begin, or something else. */
  body: 'whole' | 'part' | 'other'
}

/** A request that a backend server ran. */
interface Run {
  /** Time at which the backend server's work was done; undefined if the connection closed before. */
  endAtMs: number | undefined
  count: number
}

/** A signal to a node's process. */
export interface StopSignal {
  node: string
  startCount: number
  atMs: number
  /** Whether the process had logged a line, so that its program ran. */
  hasLogged: boolean
}

export interface DeliveryChecks {
  onRun: (id: string) => void
  onRunEnd: (id: string) => void
  onDelivery: (delivery: Delivery) => void
  onStop: (stop: StopSignal) => void
  onExit: (exit: NodeExit) => void
  onLogLine: (line: string) => void
  /** Called when nodes are killed; requests that end later are no evidence about planned stops. */
  onKill: () => void
  finish: () => { broken: BrokenPromise[], calls: Record<string, number> }
}

/** The users' bound on the time from the last byte of a request to the end of its connection, after which it counts as read. */
const lossSlackMs = 200
/** A request that was sent later after the signal has to be answered even if its backend server works until the end of the grace period. */
const lateRequestMs = 3_000
/** Part of the grace period after which work that is still under way may be cut. */
const finishingRatio = 5 / 6
/** Statuses of the node's own that deny what the configuration allows, beside refusals. */
const isDenial = (status: number | undefined): boolean => status !== undefined && status >= 300 && status < 500 && ![408, 421, 429].includes(status)
const refusalStatuses: ReadonlyArray<number | undefined> = [429, 503]
/** Log events that tell of an answer that was cut or not delivered. */
const lossEvents: readonly unknown[] = ['gatewayCut', 'gatewayLeft', 'answerNotDelivered']

export function createDeliveryChecks (): DeliveryChecks {
  const runs = new Map<string, Run>()
  const deliveries: Delivery[] = []
  const stops: StopSignal[] = []
  const exits: NodeExit[] = []
  const loggedLosses = new Set<string>()
  let killedAtMs = Infinity

  function stopOf ({ node, startCount }: Pick<Delivery, 'node' | 'startCount'>): StopSignal | undefined {
    return stops.find(stop => stop.node === node && stop.startCount === startCount)
  }

  function describe (delivery: Delivery): string {
    const { id, node, connectionIndex, isPipelined, startedAtMs, sentAtMs, endedAtMs, kind, cause, status, receivedBytes } = delivery
    const fromMs = stopOf(delivery)?.atMs
    const at = (timeMs: number | undefined): string => timeMs === undefined ? 'never' : fromMs === undefined ? `${Math.round(timeMs - startedAtMs)} ms after its begin` : `${Math.round(timeMs - fromMs)} ms after SIGTERM`
    const run = runs.get(id)
    const work = run === undefined ? 'not run' : `run, its work done ${run.endAtMs === undefined ? 'in part' : at(run.endAtMs)}`
    return `${id} to ${node}, request ${connectionIndex} of its connection${isPipelined ? ' (pipelined)' : ''}, sent ${at(sentAtMs)}, ${kind} (${cause}) ${at(endedAtMs)} with status ${status} and ${receivedBytes} bytes of its body, ${work}`
  }

  /** Whether the users' rules count an incomplete answer as a loss. */
  function isLost (delivery: Delivery): boolean {
    const { id, isPipelined, startedAtMs, sentAtMs, endedAtMs, timeoutMs, readEndAtMs } = delivery
    const run = runs.get(id)
    if (sentAtMs === undefined && run === undefined) return false
    // A pipelined one crosses the close that the answer before it announces, and waits unread until that answer is delivered.
    if (run === undefined && (isPipelined || endedAtMs <= (sentAtMs ?? Infinity) + lossSlackMs)) return false
    if (endedAtMs >= startedAtMs + timeoutMs) return false
    const stop = stopOf(delivery)
    if (stop === undefined) return true
    const finishingAtMs = stop.atMs + graceMs * finishingRatio
    if (endedAtMs < finishingAtMs) return true
    // The rules leave out no slow reader, but none can be served beyond the grace period.
    if (readEndAtMs !== undefined && readEndAtMs >= finishingAtMs) return false
    const wasSentLate = (sentAtMs ?? Infinity) > stop.atMs + lateRequestMs
    return wasSentLate || run === undefined || (run.endAtMs ?? Infinity) < finishingAtMs
  }

  /** Names the way in which an answer was lost. */
  function lossPhase (delivery: Delivery): string {
    const stop = stopOf(delivery)
    if (delivery.isPipelined) return 'pipelined'
    if (delivery.readEndAtMs !== undefined && delivery.status !== undefined) return 'slow reader'
    if (delivery.status === undefined) return delivery.connectionIndex > 1 ? 'no answer on a kept connection' : 'no answer on a new connection'
    return stop !== undefined && (delivery.sentAtMs ?? Infinity) > stop.atMs + lateRequestMs ? 'cut, sent late' : 'cut'
  }

  function isRefused ({ kind, status, isFromBackend }: Delivery): boolean {
    return kind === 'complete' && status === 503 && !isFromBackend
  }

  /** What became of a request that was refused with 503; undefined if the end of the run came first. */
  function outcomeOf (last: Delivery): string | undefined {
    if (last.endedAtMs >= killedAtMs) return undefined
    if (last.kind === 'complete' && last.status === 200 && last.endedAtMs <= last.deadlineAtMs) return 'refused, served in time'
    if (!last.isLastTry && last.deadlineAtMs >= killedAtMs) return undefined
    return isRefused(last) ? 'refused, unserved' : 'refused, ended otherwise'
  }

  /** How a node cut a stream that was run. */
  function streamCutOf (delivery: Delivery): string {
    if (isLost(delivery)) return 'stream cut, lost'
    return delivery.endedAtMs >= delivery.startedAtMs + delivery.timeoutMs ? 'stream cut, deadline reached' : 'stream cut, excused'
  }

  /** Numbers of deliveries, of streams that were cut, and of requests that were refused. */
  function countCalls (): Record<string, number> {
    const calls: Record<string, number> = {}
    const count = (label: string): void => { calls[label] = (calls[label] ?? 0) + 1 }
    const refused = new Map<string, Delivery>()
    for (const delivery of deliveries) {
      const isCut = delivery.kind === 'cut' && delivery.endedAtMs < killedAtMs
      const isUnread = isCut && !runs.has(delivery.id)
      count(isUnread ? 'cut, not run' : delivery.kind === 'complete' ? String(delivery.status) : delivery.kind)
      if (delivery.isStream && isCut && !isUnread) count(streamCutOf(delivery))
      if (isRefused(delivery) || refused.has(delivery.firstId)) refused.set(delivery.firstId, delivery)
    }
    for (const last of refused.values()) {
      const outcome = outcomeOf(last)
      if (outcome !== undefined) count(outcome)
    }
    return Object.fromEntries(Object.entries(calls).sort())
  }

  function checkDelivery (delivery: Delivery): BrokenPromise[] {
    const { id, isIdempotent, kind, status, isFromBackend, body, endedAtMs } = delivery
    const broken: BrokenPromise[] = []
    const run = runs.get(id)
    const isSuccess = status === 200
    if (kind === 'complete' && isSuccess && (!isFromBackend || body !== 'whole')) broken.push({ promise: 'whole-answer', detail: `looks complete with ${body === 'part' ? 'a part of its body' : 'another body'}: ${describe(delivery)}` })
    if (kind !== 'complete' && isSuccess && body === 'other') broken.push({ promise: 'whole-answer', detail: `has other bytes than the answer: ${describe(delivery)}` })
    if (kind === 'complete' && !isFromBackend && refusalStatuses.includes(status) && run !== undefined) broken.push({ promise: 'not-run', detail: `refused, but run: ${describe(delivery)}` })
    if (kind === 'complete' && !isFromBackend && isDenial(status)) broken.push({ promise: 'not-denied', detail: `status ${status}: ${describe(delivery)}` })
    if (!isIdempotent && run !== undefined && run.count > 1) broken.push({ promise: 'at-most-once', detail: `run ${run.count} times: ${describe(delivery)}` })
    if (endedAtMs >= killedAtMs) return broken
    if (kind === 'no-end') broken.push({ promise: 'an-end', detail: describe(delivery) })
    if (kind === 'cut') {
      if (isLost(delivery)) broken.push({ promise: 'planned-stop', detail: `${lossPhase(delivery)}: ${describe(delivery)}` })
      if (run !== undefined && !loggedLosses.has(id)) broken.push({ promise: 'loss-logged', detail: `${lossPhase(delivery)}, no log line names it: ${describe(delivery)}` })
    }
    return broken
  }

  function checkExit (exit: NodeExit): BrokenPromise[] {
    const { node, atMs, code, signal } = exit
    if (atMs >= killedAtMs) return []
    const stop = stopOf(exit)
    const end = `${node} ended with ${signal ?? `exit code ${code}`}`
    if (stop === undefined) return [{ promise: 'process-end', detail: `${end} without SIGTERM` }]
    const tookMs = Math.round(atMs - stop.atMs)
    // Before its program runs, no process can handle a signal. One that is late is killed.
    const isClean = code === 0 || (!stop.hasLogged && signal === 'SIGTERM')
    return isClean ? [] : [{ promise: 'process-end', detail: `${end} ${tookMs} ms after SIGTERM` }]
  }

  return {
    onRun: id => { runs.set(id, { endAtMs: undefined, count: (runs.get(id)?.count ?? 0) + 1 }) },
    onRunEnd: id => {
      const run = runs.get(id)
      if (run !== undefined) run.endAtMs = performance.now()
    },
    onDelivery: delivery => { deliveries.push(delivery) },
    onStop: stop => { if (stopOf(stop) === undefined) stops.push(stop) },
    onExit: exit => { exits.push(exit) },
    onLogLine: line => {
      if (!line.startsWith('{')) return
      const { event, request } = JSON.parse(line) as { event?: unknown, request?: unknown }
      if (lossEvents.includes(event)) loggedLosses.add(String(request))
    },
    onKill: () => { killedAtMs = Math.min(killedAtMs, performance.now()) },
    finish: () => ({ broken: [...deliveries.flatMap(checkDelivery), ...exits.flatMap(checkExit)], calls: countCalls() })
  }
}
