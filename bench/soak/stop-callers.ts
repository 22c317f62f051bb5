/** Callers like the users': they keep connections, send again at once when an answer ends, and send and read slowly at times. */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatEvents, formatLargeBody, isFromBackend, largeBodyBytes, longTimeoutMs, requestHeaders, routeTimeoutMs, streamPath } from '../../test/platform-adapter/soak-deployment.ts'
import { openConnection } from './connection.ts'
import type { Connection, ExchangeEnd } from './connection.ts'
import type { Delivery } from './delivery-checks.ts'
import type { NodeProcess } from './node-process.ts'

/** A request that a caller may send. */
interface CallerRequest {
  method: string
  path: string
  isIdempotent: boolean
  timeoutMs: number
  /** The whole body of the answer of a backend server. */
  expectedBody: (id: string) => string
}

export interface StopCallersOptions {
  nodes: readonly NodeProcess[]
  callerCount: number
  /** Creates the generator of one caller's draws. */
  createRandom: (caller: number) => () => number
  /** Prefix of the requests' ids. */
  idPrefix: string
  onDelivery: (delivery: Delivery) => void
  /** Ends the callers once their open requests have ended. */
  signal: AbortSignal
}

const clock = createSystemClock()
/** Time after the route's timeout within which a request must have a result; allows for a busy machine. */
const resultSlackMs = 3_000
const reconnectPauseMs = 50
/** Share of connections that are opened early and used late, of requests that follow a pause, and the longest of these times. */
const earlyRatio = 0.4
const pauseRatio = 0.25
const maxIdleMs = 5_000
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
/** Streams of about the grace period, and shares of those that may be resumed and that have no length. */
const minStreamMs = 1_000
const maxStreamMs = 7_500
const streamEvents = 91
const resumableRatio = 0.4
const unframedRatio = 0.25
/** Shares of streams and of large answers among requests; half of the others are idempotent. */
const streamRatio = 0.5
const largeRatio = 0.15

function drawRequest (random: () => number): CallerRequest {
  const draw = random()
  if (draw < streamRatio) {
    const isResumable = random() < resumableRatio
    const intervalMs = Math.round((minStreamMs + random() * (maxStreamMs - minStreamMs)) / streamEvents)
    const path = streamPath({ isResumable, events: streamEvents, intervalMs, hasLength: random() >= unframedRatio })
    return { method: 'POST', path, isIdempotent: isResumable, timeoutMs: longTimeoutMs, expectedBody: id => formatEvents(id, streamEvents) }
  }
  if (draw < streamRatio + largeRatio) return { method: 'GET', path: '/large/a', isIdempotent: true, timeoutMs: longTimeoutMs, expectedBody: formatLargeBody }
  const isIdempotent = random() < 0.5
  return { method: isIdempotent ? 'GET' : 'POST', path: isIdempotent ? '/look-up/a' : '/register/a', isIdempotent, timeoutMs: routeTimeoutMs, expectedBody: id => id }
}

function compareBody (body: Buffer, expected: string): Delivery['body'] {
  const text = body.toString('latin1')
  if (text === expected) return 'whole'
  return expected.startsWith(text) ? 'part' : 'other'
}

/** Runs callers until they are told to end and their last requests have ended. */
export async function runStopCallers ({ nodes, callerCount, createRandom, idPrefix, onDelivery, signal }: StopCallersOptions): Promise<void> {
  let requestCount = 0

  async function runCaller (caller: number): Promise<void> {
    const random = createRandom(caller)
    while (!signal.aborted) {
      const node = nodes[Math.floor(random() * nodes.length)]!
      const startCount = node.startCount()
      const connection = await openConnection(node.callersPort)
      if (connection === undefined) {
        await clock.sleep(reconnectPauseMs)
        continue
      }
      if (random() < earlyRatio) await clock.sleep(random() * maxIdleMs)
      await useConnection(connection, node, startCount, random)
      connection.close()
    }
  }

  /** Sends one request after the other until the node closes the connection. */
  async function useConnection (connection: Connection, node: NodeProcess, startCount: number, random: () => number): Promise<void> {
    let connectionIndex = 0
    const send = async (isPipelined: boolean): Promise<void> => {
      connectionIndex += 1
      await sendRequest(connection, { node: node.name, startCount, connectionIndex, isPipelined }, random)
    }
    while (connection.isOpen() && !signal.aborted) {
      const sent = [send(false)]
      let isAnswered = false
      sent[0]!.finally(() => { isAnswered = true })
      if (random() < pipelinedRatio) {
        await Promise.race([sent[0], clock.sleep(random() * maxPipelineDelayMs)])
        // Sent although the answer before it may say `Connection: close`, whose end the caller hasn't read yet.
        if (!isAnswered) sent.push(send(true))
      }
      await Promise.all(sent)
      if (random() < pauseRatio) await clock.sleep(random() * maxIdleMs)
    }
  }

  async function sendRequest (connection: Connection, fields: Pick<Delivery, 'node' | 'startCount' | 'connectionIndex' | 'isPipelined'>, random: () => number): Promise<void> {
    const { method, path, isIdempotent, timeoutMs, expectedBody } = drawRequest(random)
    requestCount += 1
    const id = `${idPrefix}-${requestCount}`
    const isSlowBody = random() < slowBodyRatio
    const readMs = path.startsWith('/large/') && random() < slowReadRatio ? random() * 2 * meanReadMs : 0
    const end = await connection.exchange({
      method,
      path,
      headers: requestHeaders(id),
      ...(method === 'GET' ? {} : { bodyParts: isSlowBody ? ['first part', 'second part'] : ['body'] }),
      headParts: random() < slowHeadRatio ? 2 : 1,
      partPauseMs: random() * maxPartPauseMs,
      readPauseMs: Math.round(readMs * bytesPerRead / largeBodyBytes),
      timeoutMs: timeoutMs + resultSlackMs
    })
    onDelivery(createDelivery(end, { id, isIdempotent, timeoutMs, ...fields }, expectedBody(id), readMs > 0))
  }

  await Promise.all(Array.from({ length: callerCount }, (_, caller) => runCaller(caller)))
}

function createDelivery (end: ExchangeEnd, fields: Pick<Delivery, 'id' | 'isIdempotent' | 'timeoutMs' | 'node' | 'startCount' | 'connectionIndex' | 'isPipelined'>, expectedBody: string, isSlowReader: boolean): Delivery {
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
