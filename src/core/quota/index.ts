/** Team quotas over all nodes: each node decides by its own buckets, or a collector decides near the limit. */
export type * from './types.ts'
export { createQuotas } from './node-quotas.ts'
export { createStoredLevels } from './stored-levels.ts'
export type { StoredLevels } from './stored-levels.ts'
export { createClusterQuotas } from './cluster-quotas.ts'
export type { ClusterQuotas, ClusterQuotasOptions } from './cluster-quotas.ts'
