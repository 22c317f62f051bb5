/**
 * The external dependencies of a node: clients of the platform's services, the
 * peer network, the membership and the replicated configuration.
 */
import type { Clock } from '../clock/index.ts'
import { createConfiguration } from '../configuration/index.ts'
import { createMembership } from '../membership/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Log } from '../log/index.ts'
import { createPeerNetwork } from '../peers/index.ts'
import { createCloud } from '../platform/cloud/index.ts'
import { createInstanceList } from '../platform/instance-list/index.ts'
import { createHttpKeyValue } from '../platform/key-value/index.ts'
import type { NodeSettings } from '../settings/index.ts'
import { createListedCheck } from './listed-check.ts'

/** Cluster name in the peer handshake. It is the same for all deployments; the peer key separates them. */
const clusterName = 'cyclamenshunt'

/** Values that every component of a node is created with. */
export interface NodeContext {
  settings: NodeSettings
  clock: Clock
  log: Log
  metrics: Metrics
  /** Uniformly distributed numbers from 0 to 1. */
  random: () => number
}

/** The external dependencies of one node. */
export type NodeDependencies = Awaited<ReturnType<typeof createDependencies>>

/** Creates the clients and the peer network; resolves once peers can connect. */
export async function createDependencies ({ settings, clock, log, metrics, random }: NodeContext) {
  const { platform } = settings
  const store = createHttpKeyValue({ endpoints: platform.keyValue.endpoints, clock, clientName: settings.node })
  const instanceList = createInstanceList({ url: platform.instanceList.url, clock, onInvalid: count => log('instancesUnreadable', { count }) })
  const cloud = platform.cloud === undefined ? undefined : createCloud({ url: platform.cloud.url, clock })

  const network = await createPeerNetwork({
    address: { node: settings.node, domain: settings.failureDomain, host: settings.peers.host, port: settings.peers.port },
    cluster: clusterName,
    peerKey: settings.peers.key,
    clock,
    log,
    metrics
  })
  // The instance feed needs the membership, so the membership reads the list directly until the feed replaces `read`.
  const nodeList = { read: instanceList.readNodes }
  const listed = createListedCheck({
    node: settings.node,
    clock,
    readNodes: deadlineAtMs => nodeList.read(deadlineAtMs)
  })
  const self = { ...network.address, host: settings.peers.advertisedHost ?? settings.peers.host }
  const membership = createMembership({
    self,
    network,
    seeds: settings.peers.seeds.map(({ node, failureDomain, host, port }) => ({ node, domain: failureDomain, host, port })),
    instanceList: listed.read,
    clock,
    log,
    metrics,
    random
  })
  const configuration = createConfiguration({ store, network, membership, clock, log, metrics, random })

  async function close (): Promise<void> {
    await configuration.close()
    await membership.close()
    await network.close()
    await Promise.all([store.close(), instanceList.close(), cloud?.close()])
  }

  return { store, instanceList, cloud, network, membership, configuration, listed, nodeList, close }
}
