/**
 * A stand-in for the key-value service: etcd v3's JSON gateway API over the
 * in-memory service, with a second listener for the control API.
 */
import express from 'express'
import { createSystemClock } from '../../core/clock/index.ts'
import { createMemoryKeyValue } from '../../core/platform/key-value/index.ts'
import { createFaultsFromSettings } from '../../core/platform/key-value/memory/faults.ts'
import { startServer } from '../server.ts'
import { createJsonGateway } from './gateway.ts'
import type { CallCounts, DecideFault, FaultSettings, RateLimits } from '../../core/platform/key-value/memory/index.ts'
import type { KeyValueState } from '../../core/platform/key-value/memory/state.ts'
import type { ListenOptions } from '../server.ts'

export interface KeyValueStandInOptions extends ListenOptions, Partial<RateLimits> {
  /** Port of the control listener; 0 selects a free port. */
  controlPort?: number
  faults?: FaultSettings
  /** Interval of progress messages on watches, in milliseconds. */
  progressIntervalMs?: number
}

/** Faults that can be set while the stand-in runs. */
export interface KeyValueStandInFaults extends FaultSettings {
  /** Makes the open connections carry no more data, without closing them; new ones work. */
  silenceConnections?: boolean
}

/** A running stand-in for the key-value service. */
export interface KeyValueStandIn {
  url: string
  controlUrl: string
  /** Replaces the faults; `POST /faults` of the control listener does the same. */
  set: (faults: KeyValueStandInFaults) => Promise<void>
  /** Replaces the faults by a function that decides for each call. */
  decide: (decide: DecideFault) => void
  calls: () => CallCounts
  compact: (revision: number) => void
  state: KeyValueState
  close: () => Promise<void>
}

const defaultProgressIntervalMs = 500

/** Starts the stand-in with two listeners: the gateway API and the control API. */
export async function createKeyValueStandIn (options: KeyValueStandInOptions = {}): Promise<KeyValueStandIn> {
  const clock = createSystemClock()
  const service = createMemoryKeyValue({ ...options, clock })
  let decide: DecideFault = createFaultsFromSettings(options.faults ?? {})
  const gateway = createJsonGateway({
    clock,
    service,
    decide: attempt => decide(attempt),
    progressIntervalMs: options.progressIntervalMs ?? defaultProgressIntervalMs
  })
  const server = await startServer(gateway, options)

  async function set (faults: KeyValueStandInFaults): Promise<void> {
    decide = createFaultsFromSettings({ ...faults, down: false })
    if (faults.silenceConnections === true) server.silenceConnections()
    if (faults.down === true) await server.stopListening()
    else await server.resumeListening()
  }

  const control = express()
  control.use(express.json())
  control.post('/faults', async (request, response) => {
    await set(request.body as KeyValueStandInFaults)
    response.json({})
  })
  control.get('/calls', (_request, response) => { response.json(service.calls()) })
  control.post('/calls/reset', (_request, response) => {
    service.resetCalls()
    response.json({})
  })
  control.post('/compact', (request, response) => {
    service.compact(Number((request.body as { revision: number }).revision))
    response.json({})
  })
  const controlServer = await startServer(control, { ...options, port: options.controlPort ?? 0 })
  if (options.faults?.down === true) await server.stopListening()

  return {
    url: server.url,
    controlUrl: controlServer.url,
    set,
    decide: next => { decide = next },
    calls: service.calls,
    compact: service.compact,
    state: service.state,
    close: async () => {
      service.close()
      await Promise.all([server.close(), controlServer.close()])
    }
  }
}
