/** `npm run measure -- restores`: what a restore of the key-value service costs clusters of several sizes. */
import { createManualClock } from '../../../src/core/clock/index.ts'
import { eraOf } from '../../../src/core/platform/key-value/index.ts'
import { contentOf, createCluster, createService } from './cluster.ts'

const sizes = [9, 84, 195]
const backendCount = 60
const maxRounds = 20

/** Lists and time until all views have the restored content; undefined if they don't get it. */
async function playRestore (nodeCount: number): Promise<{ lists: number, agreedAfterMs: number | undefined }> {
  const clock = createManualClock()
  const service = createService(clock)
  for (let index = 0; index < backendCount; index += 1) await service.put(`servers/${index}`, 'first')
  const copy = service.copy()
  const { views, exchange } = await createCluster(clock, service, nodeCount)
  for (let index = 0; index < backendCount; index += 2) await service.put(`servers/${index}`, 'second')
  await exchange(3)
  service.resetLists()
  service.restore(copy)
  await service.put('servers/1', 'third')
  const restoredAtMs = clock.monotonicMs()
  for (let round = 0; round < maxRounds; round += 1) {
    await exchange()
    const contents = new Set(views.map(view => JSON.stringify(contentOf(view))))
    const hasAgreed = contents.size === 1 && views.every(view => eraOf(view.snapshot().revision) > 1)
    if (hasAgreed) return { lists: service.lists(), agreedAfterMs: clock.monotonicMs() - restoredAtMs }
  }
  return { lists: service.lists(), agreedAfterMs: undefined }
}

/** Plays a restore at each size; returns the table. */
export async function measureRestores (): Promise<string> {
  const rows = ['| nodes | lists | ms until all views are the same |', '|---|---|---|']
  for (const nodeCount of sizes) {
    const { lists, agreedAfterMs } = await playRestore(nodeCount)
    rows.push(`| ${nodeCount} | ${lists} | ${agreedAfterMs ?? 'not reached'} |`)
  }
  return rows.join('\n')
}
