/**
 * The demo: the whole system on loopback, with a failure domain reclaimed in
 * the middle. Exit status 0 only if every promise that it checks held.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { findCaseFiles } from './case-files.ts'
import { domains, draftingTeam, readTeams } from './declarations.ts'
import { checkMove, declareMove, nextVersion, readMove } from './move.ts'
import { planNodes, startNode } from './nodes.ts'
import type { DemoNode } from './nodes.ts'
import { applyDeclarations } from './operator.ts'
import { startInstances, startPlatform } from './platform.ts'
import type { DemoPlatform } from './platform.ts'
import { createProgress } from './progress.ts'
import { checkPromises } from './promises.ts'
import { renderReport } from './report.ts'
import { waitUntil } from './wait.ts'
import { startWorkload } from './workload.ts'

const { values: options, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '45' }
  }
})
const seed = Number(options.seed)
const runMs = Number(options.seconds) * 1000
const reclaimedDomain = domains[0]!
const reclaimNoticeMs = 2_000
const startTimeoutMs = 30_000

/** Takes a failure domain away: notice to its backend servers and to its node, together. */
async function reclaim (platform: DemoPlatform, nodes: readonly DemoNode[]): Promise<Array<number | null>> {
  const leaving = nodes.filter(({ domain }) => domain === reclaimedDomain)
  platform.instanceList.setNodes(nodes.map(({ address, domain }) => ({ address, leaving: domain === reclaimedDomain })))
  await Promise.all(leaving.map(node => node.readMetrics()))
  const [, ...codes] = await Promise.all([
    platform.cloud.reclaimDomain(reclaimedDomain, reclaimNoticeMs),
    ...leaving.map(node => node.stop())
  ])
  platform.instanceList.setNodes(nodes.filter(node => !leaving.includes(node)).map(({ address }) => ({ address, leaving: false })))
  return codes
}

/** Counts the runs of each registration over all services that ever ran. */
function countRuns (platform: DemoPlatform): Map<string, number> {
  const runs = new Map<string, number>()
  for (const service of platform.services) {
    for (const [key, times] of Object.entries(service.stats().ranByKey)) runs.set(key, (runs.get(key) ?? 0) + times)
  }
  return runs
}

async function runDemo (platform: DemoPlatform, nodes: DemoNode[]): Promise<boolean> {
  const progress = createProgress()
  const files = findCaseFiles(positionals[0])
  const teams = readTeams()
  progress.say(`${files.length} case files; starting ${teams.length} teams' backend servers and 3 nodes`)
  await Promise.all(teams.map(team => startInstances(platform, team)))
  const plans = await planNodes(domains)
  const folder = mkdtempSync(join(tmpdir(), 'cyclamenshunt-demo-'))
  nodes.push(...plans.map(plan => startNode(plan, plans, platform, folder)))
  platform.instanceList.setNodes(nodes.map(({ address }) => ({ address, leaving: false })))
  await applyDeclarations(platform)
  const wanted = teams.reduce((sum, { minBackends }) => sum + minBackends, 0)
  await waitUntil('the backend servers are live', startTimeoutMs, () => platform.cloud.backends().length >= wanted)
  await waitUntil('all nodes are ready', startTimeoutMs, async () => (await Promise.all(nodes.map(node => node.isReady()))).every(Boolean))
  progress.say(`ready; settings and logs of the nodes are in ${folder}`)

  const workload = startWorkload(nodes.map(({ url }) => url), files, seed)
  const stopProgress = progress.follow(workload)
  const moveDeadlineAtMs = Date.now() + runMs
  await declareMove(platform, moveDeadlineAtMs)
  progress.say(`moving ${draftingTeam.name} to ${nextVersion} by ${new Date(moveDeadlineAtMs).toISOString()}`)
  await delay(runMs / 2)
  progress.say(`reclaiming ${reclaimedDomain} with ${reclaimNoticeMs / 1000} s of notice`)
  const codes = await reclaim(platform, nodes)
  progress.say(`${reclaimedDomain} is gone; its node ended with status ${codes.join(', ')}`)
  await delay(runMs / 2)
  progress.say('waiting for the last answers')
  await workload.finish()
  stopProgress()

  const move = await readMove(platform)
  const promises = [
    checkMove(move),
    ...checkPromises(workload.drafts, workload.calls, countRuns(platform)),
    { promise: 'A reclaimed node stops by itself', checked: codes.length, broken: codes.filter(code => code !== 0).map(code => `status ${code}`) }
  ]
  const metrics = await Promise.all(nodes.map(node => node.readMetrics()))
  const { costMilliEuro } = platform.cloud.stats()
  process.stdout.write(`\n${renderReport({ ...workload, metrics, costMilliEuro, promises, move })}\n`)
  return promises.every(({ broken }) => broken.length === 0)
}

const platform = await startPlatform()
const nodes: DemoNode[] = []
try {
  process.exitCode = await runDemo(platform, nodes) ? 0 : 1
} catch (error) {
  process.stderr.write(`The demo stopped: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
} finally {
  for (const node of nodes) node.kill()
  await platform.close()
}
