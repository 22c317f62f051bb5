/** Quarantines of several nodes on a manual clock, which exchange reports and share a key-value service. */
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createQuarantine, createStoredQuarantine } from '../../src/core/quarantine/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { AttemptId, BackendId, NodeId, PromptPartId } from '../../src/core/ids/index.ts'
import type { KeyValueEntry } from '../../src/core/platform/key-value/index.ts'
import type { Quarantine, StoredQuarantine } from '../../src/core/quarantine/index.ts'

export const service = 'models'
const dutyKey = 'duties/platform'
const reportIntervalMs = 200

export const partsOf = (...names: string[]): PromptPartId[] => names.map(name => toId<PromptPartId>(name))

export interface TestNode {
  quarantine: Quarantine
  stored: StoredQuarantine
  store: ReturnType<ReturnType<typeof createMemoryKeyValue>['connect']>
  events: string[]
  /** Reads the key-value service, as the node's view of it does. */
  readStore: () => Promise<void>
}

/** Creates the nodes; the first one holds the duty. */
export async function createCluster (count: number) {
  const clock = createManualClock()
  const memory = createMemoryKeyValue({ clock })
  const writer = memory.connect('writer')
  const written = await writer.transact({ compares: [], puts: [{ key: dutyKey, value: '' }], deletes: [] }, { deadlineAtMs: Infinity })
  const fencingNumber = written.isOk ? written.value.revision : 0
  let crashes = 0

  function createNode (index: number): TestNode {
    const entries = new Map<string, KeyValueEntry>()
    const events: string[] = []
    const log = (event: string): void => { events.push(event) }
    const store = memory.connect(`node-${index}`)
    const quarantine: Quarantine = createQuarantine({
      clock, log, metrics: createMetrics(), random: createRandom(index + 1), nodeCount: () => count, reportDelayMs: () => 300, isDeciding: () => true, claimTrial: record => stored.claimTrial(record)
    })
    const stored = createStoredQuarantine({
      store, clock, log, writeConditions: () => index === 0 ? [{ key: dutyKey, modRevision: fencingNumber }] : undefined, read: async key => entries.get(key), quarantine
    })
    async function readStore (): Promise<void> {
      const listed = await store.list('cyclamenshunt/', { deadlineAtMs: Infinity })
      if (listed.isErr) return
      entries.clear()
      for (const entry of listed.value.entries) entries.set(entry.key, entry)
      stored.onContent(entries.get(quarantineKey)?.value)
    }
    return { quarantine, stored, store, events, readStore }
  }

  const nodes = Array.from({ length: count }, (_, index) => createNode(index))
  const names = nodes.map((_, index) => toId<NodeId>(`node-${index}`))
  /** Nodes that neither send nor receive. */
  const cutOff = new Set<number>()

  /** Lets all nodes report and the holder of the duty write, once each report interval. */
  async function run (forMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += reportIntervalMs) {
      const reports = nodes.map(({ quarantine }) => quarantine.report())
      for (const [from, report] of reports.entries()) {
        for (const [to, { quarantine }] of nodes.entries()) if (from !== to && !cutOff.has(from) && !cutOff.has(to)) quarantine.merge(names[from]!, report)
      }
      for (const node of nodes) {
        await node.readStore()
        await node.stored.reconcile()
      }
      await clock.advance(reportIntervalMs)
    }
  }

  /** Records a crash of a server of its own under a prompt with the parts. */
  function crash (index: number, ...names: string[]): void {
    crashes += 1
    nodes[index]!.quarantine.recordCrash({
      attempt: toId<AttemptId>(`attempt-${crashes}`), service, backend: toId<BackendId>(`i-${crashes}`), backendStartedAtMs: crashes, features: partsOf(...names), hasStarted: true, inProgress: 1, crashedAtMs: clock.wallMs()
    })
  }

  /** Three crashes at different nodes, with the part beside others. */
  async function quarantinePart (name: string): Promise<void> {
    for (let index = 0; index < 3; index += 1) {
      crash(index % count, `${name}-first-${index}`, name)
      await run(400)
    }
    await run(600)
  }

  const isRefused = (index: number, ...names: string[]): boolean => nodes[index]!.quarantine.find(service, partsOf(...names)) !== undefined

  return {
    clock,
    memory,
    nodes,
    cutOff,
    run,
    crash,
    quarantinePart,
    isRefused,
    restart: (index: number) => { nodes[index] = createNode(index) }
  }
}

export const quarantineKey = 'cyclamenshunt/quarantine'
