/**
 * The runners of a service are in need and name a limit while a roll-out of their service is completed. The nodes then
 * choose a stopped runner of the old version without a permit for it, again and again, and serve nothing meanwhile.
 */
import { get } from 'node:http'
import { apiKey, createConfiguration, ledgerService } from '../stand-ins/configuration.mjs'
import { createClient } from '../stand-ins/client.mjs'
import { runCase, sleep } from '../stand-ins/deployment.mjs'
import { startPlatform } from '../stand-ins/platform.mjs'
import { answerHeaders, formatAnswer, startRunner } from '../stand-ins/runner.mjs'

const nodeCount = 3
const runnersPerVersion = 3
const slots = 6
const routeTimeoutMs = 800
/** Time after a route's time-out at which a request must have its answer. */
const graceMs = 500
const clientDeadlineMs = 3_000
/** The rule names a share of the requests without an answer, and this many of them. */
const minUnanswered = 8
const requestIntervalMs = 12
const warmUpMs = 6_000
const rolloutSeconds = 12
/** Time from the order until the runners name their limit, in requests a second. */
const limitedAfterMs = 7_000
const limitPerSecond = 1
/** An entry is removed three heartbeats after the last one. */
const entryLifeMs = 3_600
const endMs = 6_000
const pollMs = 10

await runCase(import.meta.url, async ({ isTroubled, record, onClose, createNodes }) => {
  const platform = await startPlatform()
  onClose(platform.close)
  platform.put('op/config', createConfiguration())
  let isInNeed = false

  async function startVersion (version) {
    return await Promise.all(Array.from({ length: runnersPerVersion }, async (_, index) => {
      const id = `i-${version}-${index + 1}`
      const runner = await startRunner({
        id,
        service: ledgerService,
        slots,
        version,
        platform,
        handle: async (request, socket) => {
          await sleep(10 + Math.random() * 20)
          const limit = isInNeed ? { 'Server-Limit': String(limitPerSecond) } : {}
          if (socket.writable) socket.write(formatAnswer(200, { ...answerHeaders(id, request), ...limit }, 'found'))
        }
      })
      onClose(runner.close)
      return runner
    }))
  }

  const oldRunners = await startVersion('v1')
  const nodes = await createNodes({ count: nodeCount, platform })
  for (const node of nodes) node.start()
  for (const node of nodes) await node.whenReady()
  const clients = nodes.map(({ port }) => createClient({ port, key: apiKey }))
  for (const client of clients) onClose(client.close)

  const results = []
  const open = new Set()
  let sentCount = 0
  const sending = setInterval(() => {
    sentCount += 1
    const sentAtMs = performance.now()
    const node = nodes[sentCount % nodeCount]
    const sent = clients[sentCount % nodeCount].send({ id: `lookup-${sentCount}`, method: 'GET', path: '/holder-lookup/song', deadlineMs: clientDeadlineMs })
    const done = sent.then(({ status, isComplete }) => {
      open.delete(done)
      results.push({ status: isComplete ? status : 'no answer', tookMs: performance.now() - sentAtMs, sentAtMs, node: node.name })
    })
    open.add(done)
  }, requestIntervalMs)
  onClose(() => clearInterval(sending))

  /** How long each node's readiness has not answered at most, as the platform sees it. */
  const longestSilenceMs = new Map(nodes.map(({ name }) => [name, 0]))
  const checking = setInterval(() => {
    for (const { name, readinessPort } of nodes) {
      const askedAtMs = performance.now()
      const request = get({ host: '127.0.0.1', port: readinessPort, path: '/cyclamenshunt/ready', agent: false }, response => {
        response.resume()
        longestSilenceMs.set(name, Math.max(longestSilenceMs.get(name), performance.now() - askedAtMs))
      })
      request.on('error', () => {})
    }
  }, 250)
  onClose(() => clearInterval(checking))

  await sleep(warmUpMs)
  const newRunners = await startVersion('v2')
  platform.put(`op/rollout/${ledgerService}`, { service: ledgerService, target: 'v2', duration_s: rolloutSeconds })
  record(`the operator orders a roll-out of v2 within ${rolloutSeconds} s; ${newRunners.length} runners of it have started`)
  await sleep(limitedAfterMs)
  if (isTroubled) {
    isInNeed = true
    record(`all runners name Server-Limit: ${limitPerSecond}`)
  }
  const untilMs = performance.now() + rolloutSeconds * 1_000
  let state
  while (!['completed', 'rolled_back'].includes(state) && performance.now() < untilMs) {
    state = platform.get(`status/rollout/${ledgerService}`)?.state
    await sleep(pollMs)
  }
  record(`the roll-out is ${state}`)
  if (state !== 'completed') throw new Error('the roll-out was not completed, so the case says nothing')
  const completedAtMs = performance.now()
  for (const { id, close, lastBeatAtMs } of oldRunners) {
    close()
    setTimeout(() => platform.remove(`servers/${id}`), lastBeatAtMs() + entryLifeMs - performance.now())
  }
  await sleep(endMs)
  clearInterval(sending)
  await Promise.all(open)

  const late = results.filter(({ tookMs }) => tookMs > routeTimeoutMs)
  const unanswered = late.filter(({ tookMs }) => tookMs > routeTimeoutMs + graceMs)
  const statuses = {}
  for (const { status, sentAtMs } of results) {
    const label = `${sentAtMs < completedAtMs ? 'before' : 'after'} ${status}`
    statuses[label] = (statuses[label] ?? 0) + 1
  }
  record(`${results.length} requests, by the time of the completion and their status: ${JSON.stringify(statuses)}`)
  record(`the longest wait for an answer of a readiness check: ${[...longestSilenceMs].map(([name, ms]) => `${name} ${Math.round(ms)} ms`).join(', ')}`)
  record(`${late.length} requests had no answer at the time-out of their route (${routeTimeoutMs} ms), ${unanswered.length} none ${graceMs} ms later; the longest took ${Math.round(Math.max(...results.map(({ tookMs }) => tookMs)))} ms`)
  for (const { sentAtMs, tookMs, node, status } of unanswered.slice(0, 20)) record(`sent to ${node} ${Math.round(sentAtMs - completedAtMs)} ms after the completion, ended after ${Math.round(tookMs)} ms: ${status}`)
  const isBroken = unanswered.length >= minUnanswered && unanswered.length > late.length / 2
  return isBroken ? [`CONFIG: of ${late.length} requests without an answer at their route's time-out, ${unanswered.length} had none ${graceMs} ms later`] : []
})
