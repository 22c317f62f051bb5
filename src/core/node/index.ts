/**
 * Composition root of a node: creates all components from the settings and
 * connects them. Components only know each other through the functions that
 * are passed to them here.
 */
import { createSystemClock } from '../clock/index.ts'
import { createCallerServer } from '../http/index.ts'
import type { CallerServer, Readiness, RunCall } from '../http/index.ts'
import { createMetrics } from '../metrics/index.ts'
import { drainNode } from './drain.ts'
import type { ShutdownState } from './shutdown-state.ts'
import { createDependencies } from './dependencies.ts'
import type { NodeContext, NodeDependencies } from './dependencies.ts'
import { readStatus } from './status.ts'
import type { Node, NodeOptions } from './types.ts'
import { createComponents } from './components.ts'
import type { NodeComponents } from './components.ts'

export type * from './types.ts'

/** Starts a node; resolves once it listens, even if it isn't ready yet. */
export async function createNode (options: NodeOptions): Promise<Node> {
  const { settings, log } = options
  const clock = options.clock ?? createSystemClock()
  const metrics = options.metrics ?? createMetrics()
  const context: NodeContext = { settings, log, clock, metrics, random: options.random ?? Math.random }
  const shutdown: ShutdownState = { leaving: false, draining: false }
  const dependencies = await createDependencies(context)
  const components = await createComponents(context, dependencies, shutdown)
  const readiness = createReadiness(dependencies, components)
  const status = (): Promise<unknown> => readStatus({ clock, ...dependencies, ...components, readiness })
  const server = await startServer(context, dependencies, components, shutdown, readiness, status)
  log('nodeStarted', { callerPort: server.port, peerPort: dependencies.network.address.port })

  async function closeComponents (): Promise<void> {
    await components.close()
    await dependencies.close()
    log('nodeStopped')
  }

  return {
    callerPort: server.port,
    metrics,
    status,
    drain: async endAtMs => {
      const { balancerDelayMs } = settings.drain
      await drainNode({ clock, log, shutdown, ...components, membership: dependencies.membership, server, balancerDelayMs }, endAtMs)
      await closeComponents()
    },
    close: async () => {
      shutdown.leaving = true
      shutdown.draining = true
      await server.close(clock.monotonicMs())
      await closeComponents()
    }
  }
}

/** Creates the function that tells whether the load balancer may send requests to this node. */
function createReadiness ({ configuration, listed }: NodeDependencies, { instanceFeed }: NodeComponents): () => Readiness {
  let isListRead = false
  instanceFeed.initialSync.then(() => { isListRead = true }, () => {})

  return () => {
    const configured = configuration.readiness()
    if (!configured.ready) return { ready: false, reason: configured.reason ?? 'the configuration in effect is not known' }
    if (!isListRead) return { ready: false, reason: 'the instance list has not been read yet' }
    if (!listed.isListed()) return { ready: false, reason: 'the instance list does not show this node yet' }
    return { ready: true }
  }
}

/** Starts the HTTP server for callers. */
function startServer (
  { settings, clock, log, metrics }: NodeContext,
  { configuration }: NodeDependencies,
  { admission, drafts, calls, capacityOf }: NodeComponents,
  shutdown: ShutdownState,
  readiness: () => Readiness,
  status: () => Promise<unknown>
): Promise<CallerServer> {
  const { node, callers, limits, operators } = settings
  const runCall: RunCall = ({ team, route, key, contentType, body, deadlineAtMs }) => calls.run({
    team: team.team,
    route: route.name,
    key,
    repeatable: route.repeatable,
    contentType,
    body,
    deadlineAtMs
  })
  return createCallerServer({
    node,
    host: callers.host,
    port: callers.port,
    clock,
    log,
    metrics,
    admission,
    drafts,
    runCall,
    capacityOf,
    findTeam: team => configuration.current().teams.get(team),
    teams: () => configuration.current().teams.values(),
    readiness,
    isLeaving: () => shutdown.leaving,
    isDraining: () => shutdown.draining,
    status,
    operatorDigests: operators.tokenDigests,
    maxBodyBytes: limits.maxBodyBytes,
    maxHeaderMs: limits.maxHeaderMs,
    maxBodyMs: limits.maxBodyMs,
    maxConnections: limits.maxConnections
  })
}
