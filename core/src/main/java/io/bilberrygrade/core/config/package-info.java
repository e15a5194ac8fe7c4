/** Published configuration as validated values, and the decision which version is in force. */
package io.bilberrygrade.core.config;
