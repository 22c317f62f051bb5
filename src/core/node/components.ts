/**
 * The components of a node that process requests: backend servers, limits,
 * routing, drafts and calls, and the duties that the node may hold.
 */
import { createAdmission, createConcurrencyLimits, createRetryBudget } from '../admission/index.ts'
import { createEngineClient, createServiceClient } from '../backends/index.ts'
import { createBackendTable } from '../backends/table.ts'
import { createCalls } from '../calls/index.ts'
import { toId } from '../ids/index.ts'
import type { BackendId, TeamId } from '../ids/index.ts'
import { createInstanceFeed } from '../instance-feed/index.ts'
import { createDuties } from '../leases/index.ts'
import { createMoves } from '../moves/index.ts'
import { createDrafts } from '../requests/index.ts'
import { createPromptHasher, createRouter } from '../routing/index.ts'
import { createDraftChooser } from './choose-backend.ts'
import { createOwnPathQuarantine } from './own-path-quarantine.ts'
import { createDutyCandidacy } from './duty-candidates.ts'
import { engineProfileOf } from './engine-profiles.ts'
import { createFleetDuties } from './fleet-duties.ts'
import { toLimited } from './limited-choice.ts'
import { createLimitsExchange } from './limits-exchange.ts'
import { createQuarantineExchange } from './quarantine-exchange.ts'
import type { Backend, OnNamedLimit } from '../backends/types.ts'
import type { ShutdownState } from './shutdown-state.ts'
import type { NodeContext, NodeDependencies } from './dependencies.ts'
import { createCallLookUp, createCallSender } from './send-call.ts'
import { watchBackends } from './watch-backends.ts'

/** Initial concurrency limit per backend server, until its latency has been measured: one batch of an engine. */
const initialConcurrency = 64

/** The components of one node. */
export type NodeComponents = Awaited<ReturnType<typeof createComponents>>

/** Creates the components and starts their background tasks. */
export async function createComponents (context: NodeContext, dependencies: NodeDependencies, shutdown: ShutdownState) {
  const { settings, clock, log, metrics, random } = context
  const { store, instanceList, cloud, network, membership, configuration } = dependencies
  const retryBudget = createRetryBudget({ clock })
  // Each attempt of a call may use another backend server, so the retry budget of calls is per team instead of per backend server.
  const callRetryBudget = createRetryBudget({ clock })
  const limits = createConcurrencyLimits({ clock, initial: initialConcurrency, min: 2, max: 512 })
  const admission = createAdmission({ clock, metrics, random, maxConcurrent: settings.limits.maxInFlight })
  const hasher = await createPromptHasher()
  const router = createRouter({
    node: settings.node,
    clock,
    metrics,
    hasher,
    random,
    profileOf: engineProfileOf
  })
  const table = createBackendTable({
    clock,
    log,
    network,
    membership,
    random,
    createEngine: backend => createEngineClient({ backend: backend.id, url: backend.url, clock, onNamedLimit: onNamedLimit(backend) }),
    createService: backend => createServiceClient({ backend: backend.id, url: backend.url, clock, onNamedLimit: onNamedLimit(backend) }),
    onLeaving: backend => drafts.onBackendLeaving(backend),
    onGone: backend => {
      router.removeBackend(backend)
      limits.removeBackend(backend)
      retryBudget.removeBackend(backend)
    }
  })
  const { limits: requestLimits, close: closeLimits } = createLimitsExchange({
    clock,
    log,
    metrics,
    random,
    draw: hasher.draw,
    network,
    membership,
    backendOf: id => {
      const backend = table.find(id)
      return backend === undefined ? undefined : toLimited(backend)
    }
  })
  const isCandidateFor = createDutyCandidacy(membership)
  const { quarantine, close: closeQuarantine } = createQuarantineExchange({ clock, log, metrics, random, network, membership, store, isWriter: () => isCandidateFor('quarantine') })
  const duties = createDuties({ store, clock, log, node: settings.node, shouldHold: duty => !shutdown.leaving && isCandidateFor(duty) })
  const moves = createMoves({
    store,
    network,
    membership,
    configuration,
    duties,
    clock,
    log,
    metrics,
    random,
    backendsOf: table.ofTeam,
    ordersOf: backend => table.engineOf(backend) ?? table.serviceOf(backend),
    withdrawVersion: (team, version) => drafts.withdrawVersion(team, version)
  })
  const { sharesOf } = moves
  /** The table for routing, with one entry for each version that a backend server serves. */
  const routingTable = { ...table, ofTeam: (team: TeamId) => moves.expandVersions(team, table.ofTeam(team)) }
  const chooserOptions = { clock, metrics, router, hasher, limits, requestLimits, retryBudget, table: routingTable, sharesOf, recordAttempt: moves.recordAttempt, ownPathQuarantine: createOwnPathQuarantine({ clock, quarantine, liveBackends: team => routingTable.ofTeam(team) }) }
  const drafts = createDrafts({
    clock,
    metrics,
    log,
    network,
    membership,
    random,
    choose: createDraftChooser(chooserOptions),
    takeRetry: retryBudget.take,
    hasAlternative: (team, leaving) => routingTable.ofTeam(team)
      .some(backend => backend.state === 'live' && backend.version === leaving.version && backend.id !== leaving.id)
  })
  const calls = createCalls({
    membership,
    network,
    store,
    clock,
    metrics,
    log,
    send: createCallSender({ ...chooserOptions, retryBudget: callRetryBudget }),
    lookUp: createCallLookUp(table),
    mayRetry: (team, reason) => callRetryBudget.take(toId<BackendId>(team), reason),
    limits: { callShards: settings.calls.shards, retentionMs: settings.calls.retentionMs }
  })
  const fleetDuties = cloud === undefined || settings.platform.cloud?.managesFleet !== true
    ? undefined
    : createFleetDuties({
      clock,
      log,
      metrics,
      cloud,
      duties,
      store,
      table,
      teams: () => [...configuration.current().teams.keys()].flatMap(team => moves.effectiveDeclaration(team) ?? []),
      findTeam: moves.effectiveDeclaration,
      onChange: configuration.onChange
    })
  const backendWatch = watchBackends({ clock, log, metrics, table, router, cloud, random })
  const instanceFeed = createInstanceFeed({ instanceList, network, membership, clock, metrics, random, onChange: backendWatch.update })
  dependencies.nodeList.read = instanceFeed.readNodes

  function onNamedLimit (backend: Backend): OnNamedLimit {
    return (named, sentAtMs) => requestLimits.recordResponse(toLimited(backend), named, sentAtMs)
  }

  /** Number of concurrent requests that this node may send to a team's live backend servers, by their current limits. */
  function capacityOf (team: TeamId): number {
    return table.ofTeam(team)
      .filter(backend => backend.state === 'live')
      .reduce((sum, backend) => sum + limits.limitOf(backend.id), 0)
  }

  async function close (): Promise<void> {
    admission.close()
    closeQuarantine()
    closeLimits()
    await fleetDuties?.close()
    await moves.close()
    await duties.close()
    await drafts.close()
    await calls.close()
    await instanceFeed.close()
    await backendWatch.close()
    await table.close()
    router.close()
  }

  return { admission, quarantine, requestLimits, table, duties, moves, drafts, calls, instanceFeed, sharesOf, capacityOf, close }
}
