/**
 * A roll-out is completed, and the old runners are stopped. Then all nodes are killed, and in a drill the store comes back
 * from a copy some seconds old, in which the roll-out was still running. The restarted nodes take the roll-out back, and
 * the platform takes the only runners of the service away. DRILL=0 or KILL=0 leave one of the two disruptions out.
 */
import { apiKey, createConfiguration, ledgerService } from '../stand-ins/configuration.mjs'
import { createClient } from '../stand-ins/client.mjs'
import { runCase, sleep } from '../stand-ins/deployment.mjs'
import { startPlatform } from '../stand-ins/platform.mjs'
import { answerHeaders, formatAnswer, startRunner } from '../stand-ins/runner.mjs'

const nodeCount = 3
const runnersPerVersion = 3
const slots = 6
const deadlineMs = 1_500
const requestIntervalMs = 15
const warmUpMs = 6_000
const rolloutSeconds = 12
const copyIntervalMs = 250
/** Age of the copy at the completion, and time from the completion to the kill of all nodes. */
const copyBeforeMs = 500
const faultAfterMs = 1_000
const awayMs = 2_000
const downMs = 1_000
/** Time after `rolled_back` until the new runners drain, and `drain_ms` until they stop. */
const drainsAfterMs = 3_000
const drainMs = 2_000
const recoveryMs = 12_000
const measuredMs = 8_000
const pollMs = 20
const statusKey = `status/rollout/${ledgerService}`

await runCase(import.meta.url, async ({ isTroubled, record, onClose, createNodes }) => {
  const hasDrill = isTroubled && process.env.DRILL !== '0'
  const hasKill = isTroubled && process.env.KILL !== '0'
  const platform = await startPlatform()
  onClose(platform.close)

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
          if (socket.writable) socket.write(formatAnswer(200, answerHeaders(id, request), 'found'))
        }
      })
      onClose(runner.close)
      return runner
    }))
  }

  function stop (runners) {
    for (const { id, close } of runners) {
      close()
      platform.remove(`servers/${id}`)
    }
  }

  function writeAsOperator () {
    platform.put('op/config', createConfiguration())
    platform.put(`op/rollout/${ledgerService}`, { service: ledgerService, target: 'v2', duration_s: rolloutSeconds })
  }

  async function waitForState (wanted, timeoutMs) {
    const untilMs = performance.now() + timeoutMs
    while (platform.get(statusKey)?.state !== wanted && performance.now() < untilMs) await sleep(pollMs)
    return platform.get(statusKey)?.state === wanted
  }

  platform.put('op/config', createConfiguration())
  const oldRunners = await startVersion('v1')
  const copies = []
  const copying = setInterval(() => copies.push({ atMs: performance.now(), copy: platform.copy() }), copyIntervalMs)
  onClose(() => clearInterval(copying))
  const nodes = await createNodes({ count: nodeCount, platform })
  for (const node of nodes) node.start()
  for (const node of nodes) await node.whenReady()
  const clients = nodes.map(({ port }) => createClient({ port, key: apiKey }))
  for (const client of clients) onClose(client.close)
  const results = []
  let sentCount = 0
  const sending = setInterval(async () => {
    sentCount += 1
    const sentAtMs = performance.now()
    const { status, isComplete } = await clients[sentCount % nodeCount].send({ id: `lookup-${sentCount}`, method: 'GET', path: '/holder-lookup/song', deadlineMs })
    results.push({ sentAtMs, status: isComplete ? status : 'no answer' })
  }, requestIntervalMs)
  onClose(() => clearInterval(sending))

  await sleep(warmUpMs)
  const newRunners = await startVersion('v2')
  writeAsOperator()
  record(`the operator orders a roll-out of v2 within ${rolloutSeconds} s`)
  if (!await waitForState('completed', rolloutSeconds * 1_000)) throw new Error(`the roll-out was not completed: ${JSON.stringify(platform.get(statusKey))}`)
  record('the roll-out is completed; the old runners stop')
  clearInterval(copying)
  const { copy, atMs } = copies.findLast(({ atMs }) => atMs < performance.now() - copyBeforeMs)
  stop(oldRunners)
  await sleep(faultAfterMs)
  const faultAtMs = performance.now()
  if (hasDrill) {
    platform.leave()
    record('the store is away')
  }
  if (hasKill) {
    for (const node of nodes) node.signal('SIGKILL')
    for (const node of nodes) await node.whenDown()
    record('all nodes were killed')
    await sleep(downMs)
    for (const node of nodes) node.start()
    record('all nodes are started again')
  }
  const backAtMs = performance.now()
  if (hasDrill) {
    await sleep(Math.max(0, awayMs - (performance.now() - faultAtMs)))
    platform.restore(copy)
    record(`the store is back from a copy that is ${Math.round(performance.now() - atMs)} ms old`)
    for (const { id } of oldRunners) platform.remove(`servers/${id}`)
    writeAsOperator()
    for (const { beat } of newRunners) beat()
  }
  const isTakenBack = await waitForState('rolled_back', recoveryMs)
  record(`the state of the roll-out is ${platform.get(statusKey)?.state}`)
  if (isTakenBack) {
    await sleep(drainsAfterMs)
    for (const { beat } of newRunners) beat('draining')
    record('the new runners drain, as the platform does after a roll-back')
    await sleep(drainMs)
    stop(newRunners)
    record('the new runners stop')
  }
  await sleep(Math.max(0, backAtMs + recoveryMs + measuredMs - performance.now()))
  clearInterval(sending)
  await sleep(deadlineMs)

  function servedShare (requests) {
    return requests.filter(({ status }) => status === 200).length / requests.length
  }
  const before = servedShare(results.filter(({ sentAtMs }) => sentAtMs < faultAtMs))
  const after = servedShare(results.filter(({ sentAtMs }) => sentAtMs > backAtMs + recoveryMs))
  const statuses = {}
  for (const { status, sentAtMs } of results) if (sentAtMs > backAtMs + recoveryMs) statuses[status] = (statuses[status] ?? 0) + 1
  record(`served before the fault: ${before.toFixed(3)}, later than ${recoveryMs} ms after the machines are back: ${after.toFixed(3)} ${JSON.stringify(statuses)}`)
  return before >= 0.25 && after < 0.25 ? [`RECOVER: ${after.toFixed(3)} of the requests are served later than ${recoveryMs} ms after the machines are back, ${before.toFixed(3)} before`] : []
})
