/** Nodes in one process, over a memory network and a manual clock or over TCP on loopback in real time, for measurements of agreement. */
import { ok } from 'true-myth/result'
import { createFeed } from '../../src/core/configuration/index.ts'
import { createManualClock, createSystemClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMembership } from '../../src/core/membership/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createMemoryNetwork, createPeerNetwork } from '../../src/core/peers/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import type { Feed } from '../../src/core/configuration/index.ts'
import type { NodeMembership } from '../../src/core/membership/index.ts'
import type { PeerAddress, PeerNetwork } from '../../src/core/peers/types.ts'
import type { MemoryKeyValue } from '../../src/core/platform/key-value/index.ts'

/** One node under measurement. */
export interface MeasuredNode {
  network: PeerNetwork
  membership: NodeMembership
  feed: Feed | undefined
}

/** Nodes with what they share. */
export interface MeasuredNodes {
  clock: ManualClock
  service: MemoryKeyValue
  nodes: MeasuredNode[]
  close: () => Promise<void>
}

/** What to start. */
export interface MeasuredOptions {
  size: number
  domains: number
  seed: number
  /** One way between two nodes. */
  latencyMs: number
  withFeed: boolean
  transport: 'memory' | 'tcp'
}

/** Prefix that the measured feed follows. */
export const measuredPrefix = 'config/'

const endMs = 30_000

/** The system's clock, on which moving time on is waiting. */
function createRealClock (): ManualClock {
  const clock = createSystemClock()
  return { ...clock, advance: clock.sleep }
}

/** Starts nodes that all stand in the instance list. */
export async function startNodes (options: MeasuredOptions): Promise<MeasuredNodes> {
  const isTcp = options.transport === 'tcp'
  const clock = isTcp ? createRealClock() : createManualClock()
  const random = createRandom(options.seed)
  const network = createMemoryNetwork({ clock, latencyMs: options.latencyMs })
  const service = createMemoryKeyValue({ clock })

  async function join (index: number): Promise<PeerNetwork> {
    const address: PeerAddress = { node: toId(`entry-${index}`), domain: toId(`domain-${index % options.domains}`), host: '127.0.0.1', port: 0 }
    if (!isTcp) return network.join(address)
    return await createPeerNetwork({ address, cluster: 'measurement', peerKey: 'a key for measurements only', clock, log: createSilentLog(), metrics: createMetrics() })
  }

  const networks = await Promise.all(Array.from({ length: options.size }, (_, index) => join(index)))
  const addresses = networks.map(({ address }) => address)

  function startNode (nodeNetwork: PeerNetwork): MeasuredNode {
    const { address } = nodeNetwork
    const shared = { network: nodeNetwork, clock, log: createSilentLog(), metrics: createMetrics(), random }
    const instanceList = async () => ok(addresses.map(listed => ({ address: listed, leaving: false })))
    const membership = createMembership({ ...shared, self: address, seeds: [], instanceList })
    const store = service.connect(address.node)
    const feed = options.withFeed ? createFeed({ ...shared, prefix: measuredPrefix, store, membership }) : undefined
    return { network: nodeNetwork, membership, feed }
  }

  const nodes = networks.map(startNode)
  return {
    clock,
    service,
    nodes,
    close: async () => {
      const closings = nodes.flatMap(node => [node.membership.close(), node.feed?.close()])
      if (!isTcp) await clock.advance(endMs)
      await Promise.all(closings)
      await Promise.all(networks.map(joined => joined.close()))
      service.close()
    }
  }
}
