/** Dependencies of a simulated node: a key-value client that a freeze suspends, a scripted membership, and link failures. */
import { err } from 'true-myth/result'
import { createError } from '../../../src/core/errors/index.ts'
import type { Clock } from '../../../src/core/clock/index.ts'
import type { NodeId } from '../../../src/core/ids/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../../../src/core/peers/types.ts'
import type { KeyValueStore } from '../../../src/core/platform/key-value/types.ts'

const linkIdleTimeoutMs = 3_000
const idleCheckIntervalMs = 500

/** Wraps a key-value client so that its calls wait while the node is frozen, and never return once it was killed. */
export function pauseWhileFrozen (store: KeyValueStore, whenThawed: () => Promise<void>): KeyValueStore {
  function wrap<Parameters extends unknown[], Value> (call: (...parameters: Parameters) => Promise<Value>) {
    return async (...parameters: Parameters): Promise<Value> => {
      await whenThawed()
      const value = await call(...parameters)
      await whenThawed()
      return value
    }
  }
  return {
    get: wrap(store.get),
    list: wrap(store.list),
    transact: wrap(store.transact),
    grantLease: wrap(store.grantLease),
    keepAlive: wrap(store.keepAlive),
    revokeLease: wrap(store.revokeLease),
    watch: store.watch,
    era: store.era,
    observeEra: store.observeEra,
    close: store.close
  }
}

/** A membership whose peers are set by the trial. */
export interface ScriptedMembership extends Membership {
  add: (peer: PeerAddress) => void
  remove: (node: NodeId) => void
}

/** Creates a membership without peers. */
export function createScriptedMembership (self: PeerAddress): ScriptedMembership {
  const peers = new Map<NodeId, PeerAddress>()
  const listeners = new Set<() => void>()
  const notifyListeners = (): void => { for (const listener of listeners) listener() }
  return {
    self,
    peers: () => [...peers.values()],
    find: node => (node === self.node ? self : peers.get(node)),
    onChange: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    add: peer => {
      peers.set(peer.node, peer)
      notifyListeners()
    },
    remove: node => {
      peers.delete(node)
      notifyListeners()
    },
    close: async () => { listeners.clear() }
  }
}

/** State of a link between two nodes; a silent link delivers nothing and reports no error. */
export type LinkState = 'up' | 'cut' | 'silent'

/** Adds the failures that TCP links detect to an in-memory network: refused connections, and requests on an idle link that time out. */
export function detectSilentLinks (network: PeerNetwork, clock: Clock, linkStateTo: (node: NodeId) => LinkState): PeerNetwork {
  async function waitUntilIdle (to: NodeId, signal: AbortSignal): Promise<void> {
    let idleMs = 0
    while (idleMs < linkIdleTimeoutMs && !signal.aborted) {
      await clock.sleep(idleCheckIntervalMs, signal)
      idleMs = linkStateTo(to) !== 'up' ? idleMs + idleCheckIntervalMs : 0
    }
  }

  const request: PeerNetwork['request'] = async (to, kind, body, deadlineAtMs) => {
    if (linkStateTo(to.node) === 'cut') return err(createError('PeerUnreachable', { peer: to.node, cause: 'the link is cut' }))
    const finished = new AbortController()
    const linkTimeout = waitUntilIdle(to.node, finished.signal)
      .then(() => err(createError('PeerSilent', { peer: to.node, silentMs: linkIdleTimeoutMs })))
    const result = await Promise.race([network.request(to, kind, body, deadlineAtMs), linkTimeout])
    finished.abort()
    return result
  }

  const send: PeerNetwork['send'] = (to, kind, body) => {
    if (linkStateTo(to.node) !== 'cut') network.send(to, kind, body)
  }

  return { ...network, request, send }
}
