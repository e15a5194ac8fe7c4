/** The published configuration as checked values, and the decision which version is in force. */
package io.bilberrygrade.core.config;
