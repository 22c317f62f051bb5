/**
 * A node is stopped as planned. A client's stream, which began before the signal, ends while the node drains, and the
 * client sends its next request on the kept connection at once. It crosses the node's close, but the node reads it,
 * passes it on, and can't answer.
 */
import { Agent } from 'node:http'
import { apiKey, createConfiguration, engineService, ledgerService } from '../stand-ins/configuration.mjs'
import { createClient } from '../stand-ins/client.mjs'
import { runCase, sleep } from '../stand-ins/deployment.mjs'
import { countEvents, writeStream } from '../stand-ins/event-stream.mjs'
import { startPlatform } from '../stand-ins/platform.mjs'
import { answerHeaders, formatAnswer, startRunner } from '../stand-ins/runner.mjs'

const nodeCount = 3
const engineSlots = 64
const ledgerSlots = 6
const draftDeadlineMs = 15_000
const grantDeadlineMs = 1_500
const grantWorkMs = 30
/** The site file has drafts of 91 events on average and of 216 at most. */
const eventCount = 91
const firstIntervalMs = 45
const lastIntervalMs = 70
const clientCount = 40
/** Time from the begin of the streams to the signal. */
const openStreamsMs = 800

await runCase(import.meta.url, async ({ isTroubled, record, onClose, createNodes }) => {
  const platform = await startPlatform()
  onClose(platform.close)
  platform.put('op/config', createConfiguration())
  const runGrants = new Map()
  const engine = await startRunner({
    id: 'i-engine-1',
    service: engineService,
    slots: engineSlots,
    platform,
    handle: (request, socket) => writeStream({ runner: 'i-engine-1', request, socket, framing: 'chunked', eventCount, eventIntervalMs: Number(request.body) })
  })
  const ledger = await startRunner({
    id: 'i-ledger-1',
    service: ledgerService,
    slots: ledgerSlots,
    platform,
    handle: async (request, socket) => {
      runGrants.set(request.id, 'started')
      await sleep(grantWorkMs)
      runGrants.set(request.id, socket.writable ? 'answered' : 'finished, but the node had closed the connection')
      if (socket.writable) socket.write(formatAnswer(200, answerHeaders('i-ledger-1', request), 'granted'))
    }
  })
  onClose(engine.close)
  onClose(ledger.close)
  const nodes = await createNodes({ count: nodeCount, platform })
  for (const node of nodes) node.start()
  for (const node of nodes) await node.whenReady()

  const stopped = nodes[0]
  let signalledAtMs = performance.now()

  /** A draft and then a grant; the client has one connection, so the grant waits until the draft has ended. */
  async function runClient (number) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const client = createClient({ port: stopped.port, key: apiKey })
    onClose(() => agent.destroy())
    const intervalMs = firstIntervalMs + (lastIntervalMs - firstIntervalMs) * number / clientCount
    const draft = client.send({ id: `draft-${number}`, path: '/snippet-draft/song', body: String(intervalMs), deadlineMs: draftDeadlineMs, agent })
    const grant = client.send({ id: `grant-${number}`, path: '/grant-record/song', body: 'grant', deadlineMs: draftDeadlineMs, headers: { 'X-Cyclamenshunt-Deadline-Ms': grantDeadlineMs }, agent })
    const draftAnswer = await draft
    const draftEndedAfterMs = performance.now() - signalledAtMs
    return { draftAnswer, draftEndedAfterMs, grantAnswer: await grant }
  }

  const running = Promise.all(Array.from({ length: clientCount }, (_, number) => runClient(number)))
  await sleep(openStreamsMs)
  signalledAtMs = performance.now()
  if (isTroubled) {
    stopped.signal('SIGTERM')
    record(`${stopped.name} gets SIGTERM`)
  }
  const results = await running
  if (isTroubled) await stopped.whenDown()

  const violations = []
  for (const { draftAnswer, draftEndedAfterMs, grantAnswer } of results) {
    const { id, status, isComplete, cause } = grantAnswer
    record(`${draftAnswer.id}: ${countEvents(draftAnswer.body)} of ${eventCount} events, ended ${Math.round(draftEndedAfterMs)} ms after the signal; ${id}: ${isComplete ? `answered ${status}` : `no answer (${cause})`}, at the runner: ${runGrants.get(id) ?? 'not run'}`)
    if (!isComplete && runGrants.has(id)) violations.push(`LOST: ${id} was read and passed on, and its connection ended without an answer`)
  }
  record(`${violations.length} of ${clientCount} requests were passed on and not answered`)
  return violations
})
