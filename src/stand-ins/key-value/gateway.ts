/**
 * Serves etcd v3's JSON gateway API from an in-memory key-value service.
 */
import express from 'express'
import { toId } from '../../core/ids/index.ts'
import { decodeText, encodeKeyValue, encodePrefix, gatewayCodes, gatewayPaths } from '../../core/platform/key-value/http/gateway.ts'
import { streamWatch } from './watch.ts'
import type { Express, Request, Response } from 'express'
import type { Clock } from '../../core/clock/index.ts'
import type { LeaseId } from '../../core/ids/index.ts'
import type { Transaction } from '../../core/platform/key-value/index.ts'
import type { DecideFault, KeyValueOperation, MemoryKeyValue } from '../../core/platform/key-value/memory/index.ts'
import type { StateError } from '../../core/platform/key-value/memory/state.ts'
import type { GatewayRangeRequest, GatewayTxnRequest } from '../../core/platform/key-value/http/gateway.ts'

export interface JsonGatewayOptions {
  clock: Clock
  service: MemoryKeyValue
  decide: DecideFault
  progressIntervalMs: number
}

/** Executes one call and returns its response. */
type RouteHandler = (body: never) => { status: number, body: unknown }

/** Maximum size of a request body: a value of 1 MB in base64, with room for its keys. */
const maxBodySize = '4mb'

/** Returns the prefix of a range request; undefined when it is for a single key. */
export function readPrefix ({ key, range_end: rangeEnd }: GatewayRangeRequest): string | undefined {
  if (rangeEnd === undefined || rangeEnd === '') return undefined
  const prefix = decodeText(key)
  if (prefix === '\0') return ''
  return encodePrefix(prefix).range_end === rangeEnd ? prefix : undefined
}

function readTransaction ({ compare, success }: GatewayTxnRequest): Transaction {
  const puts = (success ?? []).flatMap(({ request_put: put }) => put === undefined
    ? []
    : [{ key: decodeText(put.key), value: decodeText(put.value), ...(put.lease === undefined ? {} : { leaseId: toId<LeaseId>(put.lease) }) }])
  const deletes = (success ?? []).flatMap(({ request_delete_range: range }) => range === undefined ? [] : [decodeText(range.key)])
  const compares = (compare ?? []).map(item => ({ key: decodeText(item.key), modRevision: Number(item.mod_revision ?? 0) }))
  return { compares, puts, deletes }
}

function errorResponse (status: number, code: number, message: string): { status: number, body: unknown } {
  return { status, body: { error: message, code, message } }
}

function toErrorResponse (error: StateError): { status: number, body: unknown } {
  return errorResponse(400, gatewayCodes.invalidArgument, error.message)
}

/** Creates the gateway's routes. */
export function createJsonGateway (options: JsonGatewayOptions): Express {
  const { clock, service, decide } = options
  const { state } = service
  const app = express()
  app.use(express.json({ limit: maxBodySize, type: () => true }))

  function header (): { revision: string } {
    return { revision: String(state.revision()) }
  }

  function clientOf (request: Request): string {
    return request.get('user-agent') ?? 'unnamed'
  }

  /**
   * Adds one route. Calls to it are subject to the injected faults and the rate limits of the service. A `get` of a
   * prefix counts as `list` there.
   */
  function addRoute (path: string, defaultOperation: KeyValueOperation, handler: RouteHandler): void {
    app.post(path, async (request: Request, response: Response) => {
      const isList = defaultOperation === 'get' && readPrefix(request.body as GatewayRangeRequest) !== undefined
      const operation = isList ? 'list' : defaultOperation
      const fault = decide({ client: clientOf(request), operation, keys: [] })
      if (fault.requestLost === true) return request.socket.destroy()
      const admitted = fault.refused !== true && service.admit(clientOf(request), operation)
      if (!admitted) return send(response, errorResponse(429, gatewayCodes.resourceExhausted, 'too many requests'))
      if (fault.requestDelayMs !== undefined) await clock.sleep(fault.requestDelayMs)
      state.expireLeases()
      const result = handler(request.body as never)
      if (fault.answerLost === true) return request.socket.destroy()
      if (fault.answerDelayMs !== undefined) await clock.sleep(fault.answerDelayMs)
      send(response, result)
    })
  }

  function send (response: Response, { status, body }: { status: number, body: unknown }): void {
    response.status(status).json(body)
  }

  addRoute(gatewayPaths.range, 'get', (body: GatewayRangeRequest) => {
    const prefix = readPrefix(body)
    const entries = prefix === undefined ? [state.get(decodeText(body.key))].flatMap(entry => entry ?? []) : state.list(prefix)
    return { status: 200, body: { header: header(), kvs: entries.map(encodeKeyValue), count: String(entries.length) } }
  })

  addRoute(gatewayPaths.txn, 'transact', (body: GatewayTxnRequest) => {
    const result = state.transact(readTransaction(body))
    if (result.isErr) return toErrorResponse(result.error)
    const { applied, current } = result.value
    if (applied) return { status: 200, body: { header: header(), succeeded: true } }
    return { status: 200, body: { header: header(), responses: current.map(entry => ({ response_range: { kvs: [encodeKeyValue(entry)] } })) } }
  })

  addRoute(gatewayPaths.leaseGrant, 'grantLease', (body: { TTL: string }) => {
    const granted = state.grantLease(Number(body.TTL))
    service.scheduleLeaseExpiry()
    if (granted.isErr) return toErrorResponse(granted.error)
    return { status: 200, body: { header: header(), ID: granted.value, TTL: body.TTL } }
  })

  addRoute(gatewayPaths.leaseKeepAlive, 'keepAlive', ({ ID }: { ID: string }) => {
    const leaseId = toId<LeaseId>(ID)
    const ttlSeconds = state.keepAlive(leaseId) ? state.ttlSeconds(leaseId) : undefined
    const result = { header: header(), ID, ...(ttlSeconds === undefined ? {} : { TTL: String(ttlSeconds) }) }
    return { status: 200, body: { result } }
  })

  addRoute(gatewayPaths.leaseRevoke, 'revokeLease', ({ ID }: { ID: string }) => {
    const leaseId = toId<LeaseId>(ID)
    if (state.ttlSeconds(leaseId) === undefined) return errorResponse(404, gatewayCodes.notFound, 'requested lease not found')
    state.revokeLease(leaseId)
    return { status: 200, body: { header: header() } }
  })

  app.post(gatewayPaths.watch, (request: Request, response: Response) => {
    const { create_request: create } = request.body as { create_request: GatewayRangeRequest & { start_revision?: string } }
    const fault = decide({ client: clientOf(request), operation: 'watch', keys: [] })
    if (fault.refused === true || !service.admit(clientOf(request), 'watch')) {
      return send(response, errorResponse(429, gatewayCodes.resourceExhausted, 'too many requests'))
    }
    streamWatch({
      response,
      service,
      prefix: readPrefix(create) ?? decodeText(create.key),
      startRevision: Number(create.start_revision ?? 0),
      progressIntervalMs: options.progressIntervalMs
    })
  })

  return app
}
