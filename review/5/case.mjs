/**
 * In a drill the store is away for a moment and comes back from a copy some seconds old, and all nodes are killed at the
 * same time. The node that then holds the duty reports a window again, with other counts than the report that the
 * platform has accepted. DRILL=0 or KILL=0 leave one of the two disruptions out.
 */
import { apiKey, createConfiguration, ledgerService } from '../stand-ins/configuration.mjs'
import { createClient } from '../stand-ins/client.mjs'
import { runCase, sleep } from '../stand-ins/deployment.mjs'
import { startPlatform } from '../stand-ins/platform.mjs'
import { answerHeaders, formatAnswer, startRunner } from '../stand-ins/runner.mjs'

const nodeCount = 3
const slots = 6
const deadlineMs = 1_500
const requestIntervalMs = 100
const warmUpMs = 14_000
const copyIntervalMs = 250
/** Time from the copy to the begin of the drill, and for which the store is away. */
const copyAgeMs = 1_500
const awayMs = 2_000
/** Processes are down for as long as in the site file. */
const downMs = 1_000
const pollMs = 20
const reportWaitMs = 20_000
const endMs = 20_000

await runCase(import.meta.url, async ({ isTroubled, record, onClose, createNodes }) => {
  const hasDrill = isTroubled && process.env.DRILL !== '0'
  const hasKill = isTroubled && process.env.KILL !== '0'
  const platform = await startPlatform(record)
  onClose(platform.close)
  platform.put('op/config', createConfiguration())
  const runner = await startRunner({
    id: 'i-ledger-1',
    service: ledgerService,
    slots,
    platform,
    handle: (request, socket) => socket.write(formatAnswer(200, answerHeaders('i-ledger-1', request), 'granted'))
  })
  onClose(runner.close)
  const copies = []
  const copying = setInterval(() => copies.push({ atMs: performance.now(), copy: platform.copy() }), copyIntervalMs)
  onClose(() => clearInterval(copying))
  const nodes = await createNodes({ count: nodeCount, platform })
  for (const node of nodes) node.start()
  for (const node of nodes) await node.whenReady()

  const clients = nodes.map(({ port }) => createClient({ port, key: apiKey }))
  for (const client of clients) onClose(client.close)
  let sentCount = 0
  const sending = setInterval(() => {
    sentCount += 1
    clients[sentCount % nodeCount].send({ id: `grant-${sentCount}`, path: '/grant-record/song', body: 'grant', deadlineMs })
  }, requestIntervalMs)
  onClose(() => clearInterval(sending))

  await sleep(warmUpMs)
  const reportsBefore = platform.usageReports.length
  const untilMs = performance.now() + reportWaitMs
  while (platform.usageReports.length === reportsBefore) {
    if (performance.now() > untilMs) throw new Error('no node reports the usage')
    await sleep(pollMs)
  }
  clearInterval(copying)
  const { copy, atMs } = copies.findLast(({ atMs }) => atMs < performance.now() - copyAgeMs)
  if (hasDrill) {
    platform.leave()
    record('the store is away')
  }
  if (hasKill) {
    for (const node of nodes) node.signal('SIGKILL')
    record('all nodes get SIGKILL')
    for (const node of nodes) await node.whenDown()
    await sleep(downMs)
    for (const node of nodes) node.start()
    record('all nodes are started again')
  }
  if (hasDrill) {
    await sleep(Math.max(0, awayMs - (hasKill ? downMs : 0)))
    platform.restore(copy)
    record(`the store is back from a copy that is ${Math.round(performance.now() - atMs)} ms old`)
    platform.put('op/config', createConfiguration())
    runner.beat()
  }
  await sleep(endMs)

  const firstCounts = new Map()
  const violations = []
  for (const { window, counts, fence, holder, isAccepted } of platform.usageReports) {
    if (!isAccepted) continue
    const text = JSON.stringify(Object.entries(counts).sort())
    const before = firstCounts.get(window)
    if (before === undefined) firstCounts.set(window, text)
    else if (before !== text) violations.push(`ONE: window ${window} was accepted with ${before} and, from ${holder} with the fence ${fence}, with ${text}`)
  }
  record(`${sentCount} requests sent, ${platform.usageReports.length} usage reports`)
  return violations
})
