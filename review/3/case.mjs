/**
 * A node is stopped as planned while streams are open that outlast its grace period. Some of them have no length and end
 * with their connection, as answers of runners may.
 */
import { apiKey, createConfiguration, engineService } from '../stand-ins/configuration.mjs'
import { createClient } from '../stand-ins/client.mjs'
import { runCase, sleep } from '../stand-ins/deployment.mjs'
import { countEvents, writeStream } from '../stand-ins/event-stream.mjs'
import { startPlatform } from '../stand-ins/platform.mjs'
import { startRunner } from '../stand-ins/runner.mjs'

const nodeCount = 2
const runnerCount = 8
const slots = 64
const deadlineMs = 15_000
/** The site file has drafts of 91 events on average and of 216 at most, with pauses of up to 250 ms. */
const eventCount = 100
const eventIntervalMs = 100
/** Half of the runners give one in 20 of their answers no length: the share and the part of the site file. */
const unframingRunnerCount = runnerCount / 2
const answersPerUnframed = 20
const streamCount = 360
const openStreamsMs = 1_500

await runCase(import.meta.url, async ({ isTroubled, record, onClose, createNodes }) => {
  const platform = await startPlatform()
  onClose(platform.close)
  platform.put('op/config', createConfiguration())
  const unframed = new Set()
  const writtenCounts = new Map()

  for (let index = 0; index < runnerCount; index += 1) {
    const id = `i-engine-${index + 1}`
    let answerCount = 0
    let unframedAt = 0
    const runner = await startRunner({
      id,
      service: engineService,
      slots,
      platform,
      handle: (request, socket) => {
        // One answer of each 20, at random.
        if (answerCount % answersPerUnframed === 0) unframedAt = answerCount + Math.floor(Math.random() * answersPerUnframed)
        const isUnframed = index < unframingRunnerCount && answerCount === unframedAt
        answerCount += 1
        if (isUnframed) unframed.add(request.id)
        writeStream({ runner: id, request, socket, framing: isUnframed ? 'unframed' : 'chunked', eventCount, eventIntervalMs, onEnd: written => writtenCounts.set(request.id, written) })
      }
    })
    onClose(runner.close)
  }
  const nodes = await createNodes({ count: nodeCount, platform })
  for (const node of nodes) node.start()
  for (const node of nodes) await node.whenReady()

  const stopped = nodes[0]
  const clients = nodes.map(({ port }) => createClient({ port, key: apiKey }))
  for (const client of clients) onClose(client.close)
  const answers = Promise.all(Array.from({ length: streamCount }, async (_, number) => {
    await sleep(openStreamsMs * number / streamCount)
    return await clients[number % nodeCount].send({ id: `draft-${number}`, path: '/snippet-draft/song', body: 'text', deadlineMs })
  }))
  await sleep(openStreamsMs + 500)
  if (isTroubled) {
    stopped.signal('SIGTERM')
    record(`${stopped.name} gets SIGTERM`)
  }
  const results = await answers
  if (isTroubled) await stopped.whenDown()

  const violations = []
  const counts = { whole: 0, cutVisibly: 0, refused: 0 }
  for (const { id, status, isComplete, body, cause } of results) {
    const received = countEvents(body)
    const isWhole = received === eventCount
    if (status === 200 && isComplete && isWhole) counts.whole += 1
    else if (status === 503) counts.refused += 1
    else {
      const framing = unframed.has(id) ? 'unframed' : 'chunked'
      record(`${id} (${framing}): status ${status}, ${received} of ${eventCount} events, the runner had written ${writtenCounts.get(id)}, ${isComplete ? 'looks complete' : `broken off (${cause})`}`)
      if (isComplete) violations.push(`MIXED: ${id} ended after ${received} of ${eventCount} events and looks complete`)
      else counts.cutVisibly += 1
    }
  }
  record(`${results.length} streams, ${unframed.size} of them without a length: ${JSON.stringify(counts)}, ${violations.length} cut and looking complete`)
  return violations
})
