/** Callers like the users': they keep connections, send again at once when an answer ends, go on at another node after 503, and send and read slowly at times. */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { isFromBackend, largeBodyBytes, requestHeaders, retryAfterMs, tokenHeaders } from '../../test/platform-adapter/soak-deployment.ts'
import { openConnection } from './connection.ts'
import { drawRequest } from './stop-requests.ts'
import type { Connection, ExchangeEnd } from './connection.ts'
import type { Delivery } from './delivery-checks.ts'
import type { NodeProcess } from './node-process.ts'
import type { CallerRequest, StopLoad } from './stop-requests.ts'

/** A request that is sent, or was refused and is sent again. */
interface Task {
  request: CallerRequest
  /** Id of its first try. */
  firstId: string
  /** Monotonic time at which its caller gives up. */
  deadlineAtMs: number
  tryCount: number
  /** Monotonic time before which it isn't sent again. */
  notBeforeMs: number
}

type DeliveryFields = Pick<Delivery, 'node' | 'startCount' | 'connectionIndex' | 'isPipelined'>

export interface StopCallersOptions {
  nodes: readonly NodeProcess[]
  /** Whether the platform sends new connections to the node; refused requests go to such nodes. */
  receivesConnections: (node: NodeProcess) => boolean
  load: StopLoad
  /** Creates the generator of one caller's draws. */
  createRandom: (caller: number) => () => number
  /** Prefix of the requests' ids. */
  idPrefix: string
  onDelivery: (delivery: Delivery) => void
  /** Ends the callers once their open requests have ended. */
  signal: AbortSignal
}

const clock = createSystemClock()
/** Time after the request's deadline within which a request must have a result; allows for a busy machine. */
const resultSlackMs = 3_000
const reconnectPauseMs = 50
/** Share of connections that are opened early and used late. */
const earlyRatio = 0.4
/** Shares of requests whose head or body is sent in parts, and that are followed by another one before they are answered. */
const slowHeadRatio = 0.15
const slowBodyRatio = 0.3
const pipelinedRatio = 0.06
const maxPipelineDelayMs = 2_000
const maxPartPauseMs = 500
/** Share of large answers that are read slowly; the whole of one then takes up to twice `meanReadMs`. */
const slowReadRatio = 0.8
const meanReadMs = 2_500
const bytesPerRead = 65_536
/** Maximum number of tries of a request, and share of refused requests that don't wait for the time of Retry-After. */
const maxTries = 4
const atOnceRatio = 0.1
/** Callers wait for the time of Retry-After up to this share of the time that they have left. */
const maxRetryWaitRatio = 1 / 3

function compareBody (body: Buffer, expected: string): Delivery['body'] {
  const text = body.toString('latin1')
  if (text === expected) return 'whole'
  return expected.startsWith(text) ? 'part' : 'other'
}

function createTask (request: CallerRequest, firstId: string): Task {
  const nowMs = performance.now()
  return { request, firstId, deadlineAtMs: nowMs + request.timeoutMs, tryCount: 1, notBeforeMs: nowMs }
}

/** Returns the refused request to be sent again, unless its caller gives up. */
function nextTry (task: Task, { kind, status, headers, endedAtMs }: ExchangeEnd, random: () => number): Task | undefined {
  if (kind !== 'complete' || status !== 503 || isFromBackend(headers) || task.tryCount >= maxTries) return undefined
  const leftMs = task.deadlineAtMs - endedAtMs
  const waitMs = random() < atOnceRatio ? 0 : Math.min(retryAfterMs(headers), leftMs * maxRetryWaitRatio)
  return leftMs <= 0 ? undefined : { ...task, tryCount: task.tryCount + 1, notBeforeMs: endedAtMs + waitMs }
}

/** Runs callers until they are told to end and their last requests have ended. */
export async function runStopCallers ({ nodes, receivesConnections, load, createRandom, idPrefix, onDelivery, signal }: StopCallersOptions): Promise<void> {
  let requestCount = 0

  /** Draws any node, or for refused requests another one. */
  function drawNode (random: () => number, refusedBy: NodeProcess | undefined): NodeProcess {
    const others = refusedBy === undefined ? [] : nodes.filter(node => node !== refusedBy && receivesConnections(node))
    const candidates = others.length > 0 ? others : nodes
    return candidates[Math.floor(random() * candidates.length)]!
  }

  async function runCaller (caller: number): Promise<void> {
    const random = createRandom(caller)
    let refused: Task[] = []
    let refusedBy: NodeProcess | undefined
    while (!signal.aborted) {
      await clock.sleep(Math.max(0, ...refused.map(({ notBeforeMs }) => notBeforeMs - performance.now())))
      refused = refused.filter(({ deadlineAtMs }) => performance.now() < deadlineAtMs)
      const node = drawNode(random, refused.length > 0 ? refusedBy : undefined)
      const startCount = node.startCount()
      const connection = await openConnection(node.callersPort)
      if (connection === undefined) {
        await clock.sleep(reconnectPauseMs)
        continue
      }
      if (refused.length === 0 && random() < earlyRatio) await clock.sleep(random() * load.maxIdleMs)
      refused = await useConnection(connection, node, startCount, random, refused)
      refusedBy = node
      connection.close()
    }
  }

  /** Sends one request after the other, those that were refused elsewhere first, until the node closes the connection or refuses one; returns those to be sent again. */
  async function useConnection (connection: Connection, node: NodeProcess, startCount: number, random: () => number, tasks: Task[]): Promise<Task[]> {
    let connectionIndex = 0
    const refused: Task[] = []
    const send = async (isPipelined: boolean): Promise<void> => {
      connectionIndex += 1
      const again = await sendRequest(connection, { node: node.name, startCount, connectionIndex, isPipelined }, random, tasks.shift())
      if (again !== undefined) refused.push(again)
    }
    while (connection.isOpen() && refused.length === 0 && !signal.aborted) {
      const sent = [send(false)]
      let isAnswered = false
      sent[0]!.finally(() => { isAnswered = true })
      if (random() < pipelinedRatio) {
        await Promise.race([sent[0], clock.sleep(random() * maxPipelineDelayMs)])
        // Sent although the answer before it may say `Connection: close`, whose end the caller hasn't read yet.
        if (!isAnswered) sent.push(send(true))
      }
      await Promise.all(sent)
      if (refused.length === 0 && random() < load.pauseRatio) await clock.sleep(random() * load.maxIdleMs)
    }
    return [...refused, ...tasks]
  }

  /** Sends a new request or one that was refused; returns it if it is to be sent again. */
  async function sendRequest (connection: Connection, fields: DeliveryFields, random: () => number, refused: Task | undefined): Promise<Task | undefined> {
    requestCount += 1
    const id = `${idPrefix}-${requestCount}`
    const task = refused ?? createTask(drawRequest(random, load), id)
    const { method, path, isIdempotent, stream, expectedBody } = task.request
    const timeoutMs = Math.max(1, Math.round(task.deadlineAtMs - performance.now()))
    const isSlowBody = random() < slowBodyRatio
    const readMs = path.startsWith('/large/') && random() < slowReadRatio ? random() * 2 * meanReadMs : 0
    const end = await connection.exchange({
      method,
      path,
      headers: { ...requestHeaders(id, timeoutMs), ...(stream?.namesTokens === true ? tokenHeaders(stream.events) : {}) },
      ...(method === 'GET' ? {} : { bodyParts: isSlowBody ? ['first part', 'second part'] : ['body'] }),
      headParts: random() < slowHeadRatio ? 2 : 1,
      partPauseMs: random() * maxPartPauseMs,
      readPauseMs: Math.round(readMs * bytesPerRead / largeBodyBytes),
      timeoutMs: timeoutMs + resultSlackMs
    })
    const again = nextTry(task, end, random)
    const { firstId, deadlineAtMs } = task
    onDelivery(createDelivery(end, { id, firstId, deadlineAtMs, isLastTry: again === undefined, isIdempotent, isStream: stream !== undefined, timeoutMs, ...fields }, expectedBody(id), readMs > 0))
    return again
  }

  await Promise.all(Array.from({ length: load.callerCount }, (_, caller) => runCaller(caller)))
}

function createDelivery (end: ExchangeEnd, fields: DeliveryFields & Pick<Delivery, 'id' | 'firstId' | 'deadlineAtMs' | 'isLastTry' | 'isIdempotent' | 'isStream' | 'timeoutMs'>, expectedBody: string, isSlowReader: boolean): Delivery {
  const { startedAtMs, sentAtMs, endedAtMs, kind, cause, status, headers, body } = end
  return {
    ...fields,
    startedAtMs,
    sentAtMs,
    endedAtMs,
    readEndAtMs: isSlowReader ? startedAtMs + (endedAtMs - startedAtMs) * expectedBody.length / Math.max(1, body.length) : undefined,
    kind,
    cause,
    status,
    isFromBackend: isFromBackend(headers),
    receivedBytes: body.length,
    body: compareBody(body, expectedBody)
  }
}
