/** Checks the system's promises during a soak run, from what callers and backend servers observe. */
import { findExceededLimits } from './limit-check.ts'
import type { Arrival } from './arrival.ts'

/** How a caller's request ended. */
export type CallResult =
  | { kind: 'answer', status: number, isFromBackend: boolean, leavingBackend?: string | undefined, limitedBackend?: string | undefined, body: string }
  | { kind: 'refused' }
  | { kind: 'cut', elapsedMs: number, receivedBytes: boolean }
  | { kind: 'no-end' }

/** One request as its caller saw it. */
export interface CompletedCall {
  id: string
  isIdempotent: boolean
  /** The path of the request that crashes backend servers, if it is that one. */
  crashingPath: string | undefined
  /** Name of the node that the request was sent to, and how often its process had been started by then. */
  node: string
  startCount: number
  /** Whether the node was killed or paused while the request was open, or already paused when it was sent. */
  wasInterrupted: boolean
  result: CallResult
}

/** One violation of a promise. */
export interface BrokenPromise {
  promise: 'cold-limit-kept' | 'evacuated-left-alone' | 'limit-kept' | 'one-usage-report' | 'crashing-prompt' | 'sound-prompt' | 'crashing-request' | 'sound-request' | 'leaving-left-alone' | 'pause-kept' | 'own-answer' | 'not-run' | 'at-most-once' | 'planned-stop' | 'whole-answer' | 'not-denied' | 'loss-logged' | 'process-end' | 'memory-kept' | 'an-end' | 'newest-configuration' | 'recovery' | 'move-result'
  detail: string
}

/** A request that reached a backend server, which answered it with another status than 421. */
export interface Attempt extends Pick<Arrival, 'request' | 'backend' | 'startedAtMs' | 'atMs'> {
  /** Time since the store had the request to evacuate the server's domain; negative if it didn't. */
  evacuatedForMs: number
  isCold: boolean
  /** Nodes that were cut off from the store shortly before. */
  cutOffNodes: readonly string[]
}

/** A request as it was sent to a node. */
export interface SentRequest {
  id: string
  node: string
  startCount: number
  interruptionCount: number
  atMs: number
}

/** A prompt as its caller saw it. */
export interface CompletedDraft {
  id: string
  node: string
  /** The part that crashes engines, if the prompt has it. */
  part: string | undefined
  result: CallResult
}

/** Collects the observations of one run. */
export interface Checks {
  /** Called each time that a backend server runs a request. */
  onRun: (id: string) => void
  onSent: (sent: SentRequest) => void
  onArrival: (arrival: Arrival) => void
  onAttempt: (attempt: Attempt) => void
  onCall: (call: CompletedCall) => void
  /** Called for each prompt that reaches an engine. */
  onPrompt: (prompt: { id: string, parts: readonly string[], atMs: number }) => void
  /** Called when a part of a prompt has crashed an engine. */
  onCrash: (part: string, atMs: number) => void
  /** Called when a request with the path has crashed a backend server. */
  onRequestCrash: (path: string, atMs: number) => void
  onDraft: (draft: CompletedDraft) => void
  /** Newest configuration version that a node is known to have used since the given start of its process; 0 if none. */
  newestVersionOf: (node: string, startCount: number) => number
  /**
   * Called when a node served a request by a configuration version. `newestBefore` is the newest version known
   * when the request was sent: a request admitted under an older version may be answered after a newer one is seen.
   */
  onConfigurationServed: (node: string, startCount: number, version: number, newestBefore: number) => void
  onBrokenPromise: (broken: BrokenPromise) => void
  /** Runs the checks that need all observations; `calls` counts requests by status or by kind of result. */
  finish: () => { broken: BrokenPromise[], calls: Record<string, number> }
}

/** Time within which a node that passed on a response of a leaving backend server must stop sending to it. */
const drainMs = 2_000
/** Time after a response with a pause from which the backend server must get no more than `maxPausedRequests`. */
const pauseNoticeMs = 500
const maxPausedRequests = 2

/** Time after the store accepted an evacuation from which nothing may reach a backend server of the domain. */
export const evacuationBoundMs = 5_000

/** Requests a second that a cold engine takes; low, so that its part of the load exceeds what the rule allows. */
export const coldPerSecond = 1
const allowedWhileCold = coldPerSecond * 1.5 + 5
const coldWindowMs = 1_000

/** Crashes by one part of a prompt, and the time after them, from which no more than `maxLatePrompts` with it may reach engines. */
const crashesBeforeRefusal = 5
const contactMs = 3_000
const maxLatePrompts = 3
/** The same for one request that comes again. */
const requestCrashesBeforeRefusal = 3
const maxLateRequests = 3

/** A request counts as lost in a planned stop if it was open at least this long when its connection closed without a response. */
const minLostRequestMs = 100

export function createChecks (): Checks {
  const runCounts = new Map<string, number>()
  const broken: BrokenPromise[] = []
  const calls: Record<string, number> = {}
  const nonIdempotentIds = new Set<string>()
  const reportedNotRunIds = new Set<string>()
  const newestVersions = new Map<string, number>()
  const sentRequests = new Map<string, SentRequest>()
  const arrivals: Arrival[] = []
  const attempts: Attempt[] = []
  const prompts: Array<{ id: string, parts: readonly string[], atMs: number }> = []
  const crashes = new Map<string, number[]>()
  const requestCrashes = new Map<string, number[]>()
  /** Path of each request that may have crashed a backend server. */
  const crashingPaths = new Map<string, string>()
  /** Time at which a node first passed on a response of a leaving start of a backend server. */
  const leavingPassedOn = new Map<string, number>()
  /** The same for responses that named a limit. */
  const limitPassedOn = new Map<string, number>()

  /** The node that a request was sent to, as long as its process wasn't restarted, paused or resumed. */
  function senderOf (request: string): (SentRequest & { key: string }) | undefined {
    const sent = sentRequests.get(request)
    return sent === undefined ? undefined : { ...sent, key: `${sent.node}/${sent.startCount}/${sent.interruptionCount}` }
  }

  function checkLeaving (): void {
    for (const { request, backend, startedAtMs } of arrivals) {
      const sender = senderOf(request)
      const passedOnAtMs = sender === undefined ? undefined : leavingPassedOn.get(`${sender.key}/${backend}/${startedAtMs}`)
      if (sender === undefined || passedOnAtMs === undefined || sender.atMs <= passedOnAtMs + drainMs) continue
      broken.push({ promise: 'leaving-left-alone', detail: `${request} reached ${backend} from ${sender.node} ${Math.round(sender.atMs - passedOnAtMs)} ms after a response that said it was leaving` })
    }
  }

  function checkPauses (): void {
    for (const { request, backend, startedAtMs, pauseSeconds, atMs } of arrivals) {
      const sender = senderOf(request)
      if (pauseSeconds === undefined || sender === undefined) continue
      const late = arrivals.filter(other => other.backend === backend && other.startedAtMs === startedAtMs &&
        other.atMs > atMs + pauseNoticeMs && other.atMs < atMs + pauseSeconds * 1_000 &&
        senderOf(other.request)?.key === sender.key && !other.isDisturbed)
      if (late.length > maxPausedRequests) broken.push({ promise: 'pause-kept', detail: `${late.length} requests reached ${backend} from ${sender.node} in its pause of ${pauseSeconds} s` })
    }
  }

  function checkLimits (): void {
    const limited = arrivals.flatMap(({ request, backend, startedAtMs, limit, isDisturbed, atMs }) => {
      const sender = senderOf(request)
      if (limit === undefined || sender === undefined || isDisturbed) return []
      return [{ backend, startedAtMs, limit, atMs, toldAtMs: limitPassedOn.get(`${sender.key}/${backend}/${startedAtMs}/${limit.sinceMs}`) }]
    })
    for (const detail of findExceededLimits(limited)) broken.push({ promise: 'limit-kept', detail })
  }

  /** Prompts count if their node's process ran throughout the time of contact before they were sent. */
  function checkCrashingPrompts (): void {
    for (const [part, timesMs] of crashes) {
      const fifthAtMs = timesMs[crashesBeforeRefusal - 1]
      if (fifthAtMs === undefined) continue
      const late = prompts.filter(({ id, parts }) => {
        const sender = sentRequests.get(id)
        return sender !== undefined && parts.includes(part) && sender.atMs > fifthAtMs + contactMs && isInContact(sender)
      })
      if (late.length > maxLatePrompts) broken.push({ promise: 'crashing-prompt', detail: `${late.length} prompts with ${part} reached engines later than ${contactMs} ms after the fifth crash` })
    }
  }

  function checkCrashingRequests (): void {
    for (const [path, timesMs] of requestCrashes) {
      const thirdAtMs = timesMs[requestCrashesBeforeRefusal - 1]
      if (thirdAtMs === undefined) continue
      const late = arrivals.filter(({ request }) => {
        const sender = sentRequests.get(request)
        return sender !== undefined && crashingPaths.get(request) === path && sender.atMs > thirdAtMs + contactMs && isInContact(sender)
      })
      if (late.length > maxLateRequests) broken.push({ promise: 'crashing-request', detail: `${late.length} requests for ${path} reached backend servers later than ${contactMs} ms after the third crash` })
    }
  }

  function isInContact ({ node, atMs }: Pick<SentRequest, 'node' | 'atMs'>): boolean {
    const lives = new Set([...sentRequests.values()].flatMap(sent => {
      return sent.node === node && sent.atMs > atMs - contactMs && sent.atMs <= atMs ? [`${sent.startCount}/${sent.interruptionCount}`] : []
    }))
    return lives.size === 1
  }

  function checkEvacuations (): void {
    for (const { request, backend, evacuatedForMs, cutOffNodes, atMs } of attempts) {
      const node = evacuatedForMs > evacuationBoundMs ? sentRequests.get(request)?.node : undefined
      if (node === undefined || cutOffNodes.includes(node) || !isInContact({ node, atMs })) continue
      broken.push({ promise: 'evacuated-left-alone', detail: `${request} reached ${backend} from ${node} ${Math.round(evacuatedForMs)} ms after the evacuation of its domain` })
    }
  }

  /** Counts the requests of all nodes that weren't cut off from the store; reports the first window of each start of a server. */
  function checkColdLimits (): void {
    const timesMs = new Map<string, number[]>()
    for (const { request, backend, startedAtMs, isCold, cutOffNodes, atMs } of attempts) {
      const key = `${backend}/${startedAtMs}`
      if (isCold && !cutOffNodes.includes(sentRequests.get(request)?.node ?? '')) timesMs.set(key, [...timesMs.get(key) ?? [], atMs])
    }
    for (const [key, all] of timesMs) {
      const count = all.map(fromMs => all.filter(atMs => atMs >= fromMs && atMs < fromMs + coldWindowMs).length).find(inWindow => inWindow > allowedWhileCold)
      if (count !== undefined) broken.push({ promise: 'cold-limit-kept', detail: `${key} got ${count} requests in ${coldWindowMs} ms while it was cold, allowed ${allowedWhileCold}` })
    }
  }

  function checkCall ({ id, isIdempotent, crashingPath, node, wasInterrupted, result }: CompletedCall): void {
    if (!isIdempotent) nonIdempotentIds.add(id)
    if (crashingPath !== undefined) crashingPaths.set(id, crashingPath)
    else if (result.kind === 'answer' && result.body.includes('request-quarantined')) broken.push({ promise: 'sound-request', detail: `${id} was refused by ${node} although it crashes no backend server` })
    if (result.kind === 'answer') {
      if (result.isFromBackend && result.status === 200 && result.body !== id) broken.push({ promise: 'own-answer', detail: `${id} got "${result.body.slice(0, 80)}" from ${node}` })
      if (!result.isFromBackend && result.status === 503) reportedNotRunIds.add(id)
    }
    if (wasInterrupted) return
    if (result.kind === 'cut' && !result.receivedBytes && result.elapsedMs >= minLostRequestMs) broken.push({ promise: 'planned-stop', detail: `${id} got no response from ${node}: the connection closed after ${result.elapsedMs} ms` })
    if (result.kind === 'no-end') broken.push({ promise: 'an-end', detail: `${id} got no response and no error from ${node}` })
  }

  /** Records when a node first passed on what a start of a backend server said of itself. */
  function recordPassedOn (id: string, sayingBackend: string | undefined, passedOn: Map<string, number>): void {
    const sender = senderOf(id)
    const arrival = sayingBackend === undefined ? undefined : arrivals.findLast(({ request, backend }) => request === id && backend === sayingBackend)
    if (sender === undefined || arrival === undefined) return
    const key = [sender.key, arrival.backend, arrival.startedAtMs, ...(passedOn === limitPassedOn ? [arrival.limit?.sinceMs] : [])].join('/')
    if (!passedOn.has(key)) passedOn.set(key, performance.now())
  }

  return {
    onRun: id => { runCounts.set(id, (runCounts.get(id) ?? 0) + 1) },
    onSent: sent => { sentRequests.set(sent.id, sent) },
    onArrival: arrival => { arrivals.push(arrival) },
    onAttempt: attempt => { attempts.push(attempt) },
    onCall: call => {
      if (call.result.kind === 'answer') {
        recordPassedOn(call.id, call.result.leavingBackend, leavingPassedOn)
        recordPassedOn(call.id, call.result.limitedBackend, limitPassedOn)
      }
      const label = call.result.kind === 'answer' ? String(call.result.status) : call.result.kind
      calls[label] = (calls[label] ?? 0) + 1
      checkCall(call)
    },
    onPrompt: prompt => { prompts.push(prompt) },
    onRequestCrash: (path, atMs) => { requestCrashes.set(path, [...requestCrashes.get(path) ?? [], atMs]) },
    onCrash: (part, atMs) => { crashes.set(part, [...crashes.get(part) ?? [], atMs]) },
    onDraft: ({ id, node, part, result }) => {
      const label = `draft ${result.kind === 'answer' ? result.status : result.kind}`
      calls[label] = (calls[label] ?? 0) + 1
      if (result.kind !== 'answer') return
      if (part === undefined && result.body.includes('prompt-quarantined')) broken.push({ promise: 'sound-prompt', detail: `${id} was refused by ${node} although no part of it crashes engines` })
      if (result.isFromBackend && result.status === 200 && result.body.match(/data: (.*)/)?.[1] !== id) broken.push({ promise: 'own-answer', detail: `${id} got "${result.body.slice(0, 80)}" from ${node}` })
    },
    newestVersionOf: (node, startCount) => newestVersions.get(`${node}/${startCount}`) ?? 0,
    onConfigurationServed: (node, startCount, version, newestBefore) => {
      const key = `${node}/${startCount}`
      if (version < newestBefore) broken.push({ promise: 'newest-configuration', detail: `${node} served configuration version ${version} after version ${newestBefore}` })
      newestVersions.set(key, Math.max(newestVersions.get(key) ?? 0, version))
    },
    onBrokenPromise: brokenPromise => { broken.push(brokenPromise) },
    finish: () => {
      checkLeaving()
      checkPauses()
      checkLimits()
      checkEvacuations()
      checkColdLimits()
      checkCrashingPrompts()
      checkCrashingRequests()
      for (const id of nonIdempotentIds) {
        const count = runCounts.get(id) ?? 0
        if (count > 1) broken.push({ promise: 'at-most-once', detail: `${id} ran ${count} times` })
      }
      for (const id of reportedNotRunIds) if (runCounts.has(id)) broken.push({ promise: 'not-run', detail: `${id} ran, although the response to its caller said that it had not` })
      return { broken, calls }
    }
  }
}
