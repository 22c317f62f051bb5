/**
 * `npm run measure`: the current version beside the naive one on the workloads
 * of both deployments; `npm run measure -- slopes`: what control costs as the
 * sizes grow; `npm run measure -- ordering`: orders of backend servers while
 * the cloud reclaims them; `npm run measure -- placement`: prompts of many nodes;
 * `npm run measure -- quotas`: a team's quota while nodes restart or are cut off;
 * `npm run measure -- version-moves [REQUESTS-PER-SECOND ...]`: good and bad versions beside an old one in trouble;
 * `npm run measure -- restores`: views while the key-value service is restored;
 * `npm run measure -- crashing-prompts`: prompts with a part that crashes engines;
 * `npm run measure -- crashing-requests`: one request that crashes the servers of a plain service;
 * `npm run measure -- request-limits`: backend servers that limit the requests that they take;
 * `npm run measure -- planned-stops`: callers of entry nodes that are stopped.
 */
import { parseArgs } from 'node:util'
import { createPromptHasher } from '../../src/core/routing/index.ts'
import { compare } from './compare.ts'
import { measureCrashingPrompts } from './crashing-prompts/index.ts'
import { measureCrashingRequests } from './crashing-requests/index.ts'
import { measureOrdering } from './ordering/index.ts'
import { measurePlacement } from './placement/index.ts'
import { measurePlannedStops } from './planned-stops/index.ts'
import { measureQuotas } from './quotas/index.ts'
import { verdictTable, writeReport } from './report.ts'
import { measureRequestLimits } from './request-limits/index.ts'
import { measureRestores } from './restores/index.ts'
import { measureSlopes } from './slopes/index.ts'
import { measureVersionMoves } from './version-moves/index.ts'
import { association, bennani } from './workloads.ts'

const defaultSeconds = 60
const reportFolder = 'reports'

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: String(defaultSeconds) },
    json: { type: 'boolean', default: false }
  }
})
const seed = Number(values.seed)
const seconds = Number(values.seconds)

/** Runs both workloads and writes the report. */
async function measureVersions (): Promise<void> {
  const hasher = await createPromptHasher()
  const comparisons = []
  for (const workload of [association, bennani]) {
    comparisons.push(await compare({
      workload,
      seconds,
      seed,
      hasher,
      onTrial: (kind, summary) => {
        if (values.json) console.log(JSON.stringify({ kind, ...summary }))
        else console.error(`${workload.name} ${kind} ${summary.policy} at load ${summary.load.toFixed(2)}: ${summary.meetsTarget ? 'target met' : 'target missed'}`)
      }
    }))
  }
  await writeReport(reportFolder, `npm run measure -- --seed ${seed} --seconds ${seconds}`, comparisons)
  if (values.json) for (const verdict of comparisons.flatMap(({ verdicts }) => verdicts)) console.log(JSON.stringify(verdict))
  else console.log(verdictTable(comparisons))
}

async function main (): Promise<void> {
  if (!Number.isInteger(seed) || !(seconds > 0)) {
    console.error('Give --seed as a whole number and --seconds as a number above 0.')
    process.exitCode = 2
    return
  }
  if (positionals[0] === 'slopes') await measureSlopes({ seed, json: values.json })
  else if (positionals[0] === 'ordering') console.log(await measureOrdering(reportFolder))
  else if (positionals[0] === 'placement') console.log(await measurePlacement(reportFolder, { seconds, seed }))
  else if (positionals[0] === 'quotas') console.log(await measureQuotas(reportFolder, seed))
  else if (positionals[0] === 'version-moves') console.log(await measureVersionMoves(reportFolder, seed, positionals.slice(1).map(Number)))
  else if (positionals[0] === 'crashing-prompts') console.log(await measureCrashingPrompts(reportFolder, seed))
  else if (positionals[0] === 'crashing-requests') console.log(await measureCrashingRequests(reportFolder, seed))
  else if (positionals[0] === 'request-limits') console.log(await measureRequestLimits(reportFolder, seed))
  else if (positionals[0] === 'planned-stops') console.log(await measurePlannedStops(reportFolder, seed))
  else if (positionals[0] === 'restores') console.log(await measureRestores())
  else await measureVersions()
}

await main()
