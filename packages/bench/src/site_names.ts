/** Names of a local site. */
export enum SiteNames {
  SITE = 'demo-site',
  REGION = 'demo-region',
  MODEL = 'demo-llm',
  SERVICE = 'demo-app',
}
